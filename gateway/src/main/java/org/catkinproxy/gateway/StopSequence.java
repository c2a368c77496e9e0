package org.catkinproxy.gateway;

import org.catkinproxy.error.CatkinException;
import org.catkinproxy.error.ErrorCode;
import org.catkinproxy.error.Step;

import java.time.Duration;
import java.util.concurrent.TimeUnit;

/**
 * The steps of a planned stop.
 *
 * <p>The instance first says that it is not ready and is no longer named to callers; open answers
 * close their connections. Then idle connections are closed, then nothing new is taken, and the
 * process ends when the last request has, or when the grace is nearly over. Used by the event loop
 * only.
 */
final class StopSequence {
    private static final long CLOSE_IDLE_MILLIS = 200;
    private static final long STOP_LISTENING_MILLIS = 1_200;
    private static final long POLL_MILLIS = 100;

    /** The process ends this long before the platform would kill it. */
    private static final long MARGIN_MILLIS = 400;

    private final Gateway mGateway;
    private final Duration mGrace;
    private boolean mBegun;
    private long mBegunAt;
    private boolean mListening = true;

    StopSequence(Gateway gateway, Duration grace) {
        mGateway = gateway;
        mGrace = grace;
    }

    boolean hasBegun() {
        return mBegun;
    }

    void begin(Runnable onStopped) {
        if (mBegun) {
            return;
        }
        mBegun = true;
        mBegunAt = mGateway.now();
        mGateway.log().record(GatewayEvent.STOPPING, "open_requests", mGateway.openRequests());
        mGateway.members().leave();
        mGateway.loop()
                .schedule(mGateway::closeIdleConnections, CLOSE_IDLE_MILLIS, TimeUnit.MILLISECONDS);
        mGateway.loop().schedule(this::stopListening, STOP_LISTENING_MILLIS, TimeUnit.MILLISECONDS);
        mGateway.loop().schedule(() -> poll(onStopped), POLL_MILLIS, TimeUnit.MILLISECONDS);
    }

    /**
     * Refuses new requests once nothing new is taken.
     *
     * @throws CatkinException if the request has to go to another instance
     */
    void checkTakesRequests() {
        if (!mListening) {
            throw CatkinException.notRun(
                    ErrorCode.STOPPING, Step.STOP, CatkinException.NO_PEER, "planned stop");
        }
    }

    private void stopListening() {
        mListening = false;
        mGateway.stopListening();
        mGateway.closeIdleConnections();
    }

    private void poll(Runnable onStopped) {
        long passed = TimeUnit.NANOSECONDS.toMillis(mGateway.now() - mBegunAt);
        boolean done = !mListening && mGateway.openRequests() == 0;
        if (done || passed >= mGrace.toMillis() - MARGIN_MILLIS) {
            mGateway.log().record(GatewayEvent.STOPPED, "open_requests", mGateway.openRequests());
            mGateway.log().flush();
            mGateway.loop().schedule(onStopped, POLL_MILLIS, TimeUnit.MILLISECONDS);
            return;
        }
        mGateway.loop().schedule(() -> poll(onStopped), POLL_MILLIS, TimeUnit.MILLISECONDS);
    }
}
