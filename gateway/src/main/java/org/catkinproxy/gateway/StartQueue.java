package org.catkinproxy.gateway;

import org.catkinproxy.serving.LoopDelayEstimator;

import io.netty.channel.EventLoop;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

/**
 * Starts requests at the pace of the event loop.
 *
 * <p>The load pattern: a loop that is behind reads many requests in one turn, some of them of
 * callers that have left meanwhile. Requests then wait here, and only a few start in each turn, so
 * that the loop reads its sockets in between and hears of callers that leave. If the loop keeps up,
 * requests start at once. Used by the event loop only.
 */
final class StartQueue {
    /** Time for which requests are started in one turn of the loop; at least one is started. */
    private static final long MAX_SLICE_NANOS = 20_000_000L;

    private final EventLoop mLoop;
    private final LoopDelayEstimator mLoopDelay;
    private final Deque<Runnable> mStarts = new ArrayDeque<>();
    private boolean mScheduled;

    StartQueue(EventLoop loop, LoopDelayEstimator loopDelay) {
        mLoop = loop;
        mLoopDelay = loopDelay;
    }

    /** Runs {@code start} now or, in the order of the calls, in a later turn of the loop. */
    void start(Runnable start) {
        if (mStarts.isEmpty() && mLoopDelay.turnNanos(System.nanoTime()) == 0) {
            start.run();
            return;
        }
        mStarts.addLast(start);
        scheduleNextSlice();
    }

    private void scheduleNextSlice() {
        if (!mScheduled && !mStarts.isEmpty()) {
            mScheduled = true;
            // A task that is scheduled by another task runs in the next turn of the loop.
            mLoop.execute(() -> mLoop.schedule(this::runSlice, 0, TimeUnit.NANOSECONDS));
        }
    }

    private void runSlice() {
        mScheduled = false;
        long begin = System.nanoTime();
        try {
            while (!mStarts.isEmpty() && System.nanoTime() - begin < MAX_SLICE_NANOS) {
                mStarts.pollFirst().run();
            }
        } finally {
            scheduleNextSlice();
        }
    }
}
