package org.catkinproxy.serving;

import static com.google.common.base.Preconditions.checkArgument;

import java.time.Duration;

/**
 * Decides which requests a stopping instance still accepts, and when it ends.
 *
 * <p>A request is accepted if its timeout, at which it has a response in any case, comes before the
 * instance ends. At the beginning of the stop all requests are accepted, since few last so long and
 * their callers have not yet looked up other instances. Immutable and thread-safe.
 *
 * @param grace the time from the beginning of the stop until the platform kills the instance
 */
public record StopPolicy(Duration grace) {
    /**
     * Time from the beginning of the stop in which all requests are accepted. The platform excuses
     * 3 s, and a busy machine may deliver its signal some tenths of a second late.
     */
    private static final Duration ACCEPT_ALL = Duration.ofMillis(2_500);

    /** Minimum duration of the stop, in which most callers look up the other instances. */
    private static final Duration MIN_DRAIN = Duration.ofMillis(3_100);

    /**
     * Time by which the instance ends before the platform would kill it: for a signal that is
     * delivered late, the last steps of the stop, and the exit of the process.
     */
    private static final Duration KILL_MARGIN = Duration.ofMillis(800);

    /** Tasks of the event loop between the decision to end and the end, beyond the margin. */
    private static final int LATE_STEPS = 2;

    /** The most that a late loop brings the end forward: streams go on for most of the stop. */
    private static final Duration MAX_ALLOWANCE = Duration.ofMillis(500);

    /** Time in which a response is made and written, after a request's timeout at the latest. */
    private static final Duration RESPONSE_MARGIN = Duration.ofMillis(300);

    /** Checks that the grace period is not negative. */
    public StopPolicy {
        checkArgument(!grace.isNegative(), "negative grace period: %s", grace);
    }

    /**
     * Returns whether a request is accepted.
     *
     * @param elapsed the time since the beginning of the stop
     * @param loopDelay how late the event loop runs its tasks
     * @param timeout the time until the request has a response in any case
     */
    public boolean accepts(Duration elapsed, Duration loopDelay, Duration timeout) {
        Duration latestResponse =
                elapsed.plus(timeout).plus(RESPONSE_MARGIN).plus(allowance(loopDelay));
        return elapsed.compareTo(ACCEPT_ALL) < 0 || latestResponse.compareTo(latestEnd()) <= 0;
    }

    /**
     * Returns whether the instance ends.
     *
     * @param elapsed the time since the beginning of the stop
     * @param loopDelay how late the event loop runs its tasks, which the end takes several of
     * @param isDrained whether all callers have their responses
     */
    public boolean ends(Duration elapsed, Duration loopDelay, boolean isDrained) {
        boolean mayEndEarly = elapsed.compareTo(MIN_DRAIN) >= 0;
        return (mayEndEarly && isDrained)
                || elapsed.plus(allowance(loopDelay)).compareTo(latestEnd()) >= 0;
    }

    private static Duration allowance(Duration loopDelay) {
        Duration lateness = loopDelay.multipliedBy(LATE_STEPS);
        return lateness.compareTo(MAX_ALLOWANCE) < 0 ? lateness : MAX_ALLOWANCE;
    }

    /** Returns the time from the beginning of the stop after which the instance ends. */
    public Duration latestEnd() {
        return grace.minus(KILL_MARGIN);
    }
}
