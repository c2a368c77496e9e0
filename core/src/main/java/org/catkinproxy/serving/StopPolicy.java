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
    /** Time from the beginning of the stop in which all requests are accepted. */
    private static final Duration ACCEPT_ALL = Duration.ofMillis(2_900);

    /** Minimum duration of the stop, in which most callers look up the other instances. */
    private static final Duration MIN_DRAIN = Duration.ofMillis(3_100);

    /** Time by which the instance ends before the platform would kill it. */
    private static final Duration KILL_MARGIN = Duration.ofMillis(400);

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
     * @param timeout the time until the request has a response in any case
     */
    public boolean accepts(Duration elapsed, Duration timeout) {
        Duration latestResponse = elapsed.plus(timeout).plus(RESPONSE_MARGIN);
        return elapsed.compareTo(ACCEPT_ALL) < 0 || latestResponse.compareTo(latestEnd()) <= 0;
    }

    /**
     * Returns whether the instance ends.
     *
     * @param elapsed the time since the beginning of the stop
     * @param isDrained whether all callers have their responses
     */
    public boolean ends(Duration elapsed, boolean isDrained) {
        boolean mayEndEarly = elapsed.compareTo(MIN_DRAIN) >= 0;
        return (mayEndEarly && isDrained) || elapsed.compareTo(latestEnd()) >= 0;
    }

    /** Returns the time from the beginning of the stop after which the instance ends. */
    public Duration latestEnd() {
        return grace.minus(KILL_MARGIN);
    }
}
