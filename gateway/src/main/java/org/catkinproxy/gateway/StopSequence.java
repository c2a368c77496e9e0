package org.catkinproxy.gateway;

import org.catkinproxy.error.CatkinException;
import org.catkinproxy.error.ErrorCode;
import org.catkinproxy.error.Step;
import org.catkinproxy.serving.StopPolicy;

import java.time.Duration;
import java.util.concurrent.TimeUnit;

/**
 * The steps of a planned stop.
 *
 * <p>The instance first reports that it is not ready and is no longer returned to callers.
 * Responses sent from then on close their connections. Idle connections stay open: a request may be
 * on its way, and a caller that looks up the instances again stops using them. Callers that have
 * not done so may still connect: their requests are accepted as long as they can end before the
 * process does. The process ends after its last response, or shortly before the grace period ends.
 * Once that is decided, all further requests are refused, for long enough to answer those that are
 * on their way. All times count from when the process was told to stop, which a late event loop
 * hears of later. Used by the event loop only.
 */
final class StopSequence {
    private static final Duration POLL_INTERVAL = Duration.ofMillis(100);

    /** Time for which requests are refused before the listener closes. */
    private static final Duration REFUSE_TIME = Duration.ofMillis(100);

    /** Time in which requests are read that were sent before the listener closed. */
    private static final Duration LAST_READ_TIME = Duration.ofMillis(50);

    private final Gateway mGateway;
    private final StopPolicy mPolicy;
    private boolean mBegun;
    private long mRequestedAt;

    /** How late the event loop heard of the stop. */
    private Duration mHeardAfter = Duration.ZERO;

    private boolean mEnding;

    StopSequence(Gateway gateway, Duration grace) {
        mGateway = gateway;
        mPolicy = new StopPolicy(grace);
    }

    boolean hasBegun() {
        return mBegun;
    }

    /**
     * Begins the stop.
     *
     * @param requestedAt when the process was told to stop, in ns of the monotonic clock
     * @param onStopped runs when the process may exit
     */
    void begin(long requestedAt, Runnable onStopped) {
        if (mBegun) {
            return;
        }
        mBegun = true;
        mRequestedAt = requestedAt;
        mHeardAfter = elapsed();
        mGateway.log()
                .record(
                        GatewayEvent.STOPPING,
                        "open_requests",
                        mGateway.openRequests().count(),
                        "heard_after_ms",
                        mHeardAfter.toMillis());
        mGateway.instanceRegistry().leave();
        checkDrained(onStopped);
    }

    /**
     * Refuses a request that might not end before the process does. The signal may have been as
     * late as the event loop, so that the grace period may have begun earlier than is known here.
     *
     * @param timeout the time until the request has a response in any case
     * @throws CatkinException if the request has to go to another instance
     */
    void checkAccepts(Duration timeout) {
        if (mBegun
                && (mEnding
                        || !mPolicy.accepts(elapsed().plus(mHeardAfter), loopDelay(), timeout))) {
            throw CatkinException.notRun(
                    ErrorCode.STOPPING,
                    Step.STOP,
                    CatkinException.NO_PEER,
                    "instance is stopping and might end before the request");
        }
    }

    private Duration elapsed() {
        return Duration.ofNanos(mGateway.now() - mRequestedAt);
    }

    private Duration loopDelay() {
        return Duration.ofNanos(mGateway.loopDelay().turnNanos(mGateway.now()));
    }

    private void checkDrained(Runnable onStopped) {
        Duration elapsed = elapsed();
        if (!mPolicy.ends(elapsed, loopDelay(), mGateway.openRequests().isDrained())) {
            Duration untilEnd = mPolicy.latestEnd().minus(elapsed);
            schedule(() -> checkDrained(onStopped), min(POLL_INTERVAL, untilEnd));
            return;
        }
        mEnding = true;
        mGateway.log()
                .record(GatewayEvent.STOPPED, "open_requests", mGateway.openRequests().count());
        mGateway.openRequests().endForStop();
        mGateway.log().flush();
        schedule(() -> stopListening(onStopped), REFUSE_TIME);
    }

    private void stopListening(Runnable onStopped) {
        mGateway.stopListening();
        schedule(() -> end(onStopped), LAST_READ_TIME);
    }

    private void end(Runnable onStopped) {
        mGateway.openRequests().logCuts();
        mGateway.openRequests().closeConnections();
        mGateway.log().close();
        onStopped.run();
    }

    private void schedule(Runnable task, Duration delay) {
        mGateway.loop().schedule(task, delay.toNanos(), TimeUnit.NANOSECONDS);
    }

    private static Duration min(Duration a, Duration b) {
        return a.compareTo(b) <= 0 ? a : b;
    }
}
