package org.catkinproxy.gateway;

import com.google.common.net.HostAndPort;

import org.catkinproxy.id.RequestId;
import org.catkinproxy.serving.EngineLimits;
import org.catkinproxy.serving.RunCopy;
import org.catkinproxy.serving.SendFailure;
import org.catkinproxy.serving.Upstream;

import io.reactivex.rxjava3.core.Single;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Ends the run of a broken stream at its engine, so that another engine may go on with it.
 *
 * <p>What has ended is a connection, not a run: an engine may work on after its response was lost.
 * So the engine is asked to stop the run, on a new connection. The stream may go on only if the
 * engine has stopped the run or knows no such run, if its process is gone, or if an engine that has
 * fallen silent cannot be reached. Used by the event loop only.
 */
final class RunHandover {
    /** Maximum time to find out; callers leave a stream after a gap of two seconds. */
    private static final Duration MAX_TIME = Duration.ofMillis(600);

    private static final Duration RETRY_DELAY = Duration.ofMillis(50);

    /** Receives the outcome; one of the methods is called once. */
    interface Listener {
        /**
         * Called when the run is over.
         *
         * @param copy the memory of the run at its successor, empty if it was not copied
         */
        void onRunOver(Optional<RunCopy> copy);

        /** Called when nothing has shown in time that the run is over. */
        void onRunMayGoOn();
    }

    private final Gateway mGateway;
    private final RequestId mRun;
    private final Upstream mEngine;
    private final HostAndPort mSuccessor;
    private final boolean mHasFallenSilent;
    private final Listener mListener;
    private final long mStartedAt;
    private int mTries;
    private boolean mReached;

    /**
     * Creates a handover, which {@link #start} starts.
     *
     * @param engine the engine whose run broke
     * @param successor the engine that is to go on with the run
     */
    RunHandover(
            Gateway gateway,
            RequestId run,
            Upstream engine,
            Upstream successor,
            SendFailure failure,
            Listener listener) {
        mGateway = gateway;
        mRun = run;
        mEngine = engine;
        mSuccessor = successor.address();
        mHasFallenSilent = failure == SendFailure.SILENT;
        mListener = listener;
        mStartedAt = gateway.now();
    }

    /** Asks the engine until it tells or the time is over. */
    void start() {
        mTries++;
        Duration left = MAX_TIME.minusNanos(mGateway.now() - mStartedAt);
        EngineControl control = mGateway.engineControl();
        Single<EngineControl.StoppedRun> outcome =
                canStopRun()
                        ? control.stopRun(mEngine, mRun, mSuccessor, left)
                        : control.findRun(mEngine, left);
        outcome.subscribe(this::onOutcome);
    }

    private boolean canStopRun() {
        return mGateway.engineLimits(mEngine.service()).filter(EngineLimits::movesRuns).isPresent();
    }

    private void onOutcome(EngineControl.StoppedRun outcome) {
        switch (outcome.state()) {
            case ENDED, STOPPED -> end(outcome, true);
            case UNREACHABLE -> retryOrEnd(outcome, mHasFallenSilent && !mReached);
            case UNKNOWN -> {
                mReached = true;
                retryOrEnd(outcome, false);
            }
            default -> throw new AssertionError(outcome.state());
        }
    }

    private void retryOrEnd(EngineControl.StoppedRun outcome, boolean isOverAtLast) {
        long endOfNextTry = mGateway.now() + RETRY_DELAY.toNanos();
        if (endOfNextTry - mStartedAt < MAX_TIME.toNanos()) {
            mGateway.loop().schedule(this::start, RETRY_DELAY.toMillis(), TimeUnit.MILLISECONDS);
        } else {
            end(outcome, isOverAtLast);
        }
    }

    private void end(EngineControl.StoppedRun outcome, boolean isOver) {
        mGateway.log()
                .record(
                        GatewayEvent.RUN_HANDED_OVER,
                        "request",
                        mRun,
                        "upstream",
                        mEngine.id(),
                        "state",
                        outcome.state(),
                        "over",
                        isOver,
                        "copied",
                        outcome.copy().isPresent(),
                        "tries",
                        mTries,
                        "took_ms",
                        TimeUnit.NANOSECONDS.toMillis(mGateway.now() - mStartedAt));
        if (isOver) {
            mListener.onRunOver(outcome.copy());
        } else {
            mListener.onRunMayGoOn();
        }
    }
}
