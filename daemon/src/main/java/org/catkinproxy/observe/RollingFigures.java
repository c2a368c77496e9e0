package org.catkinproxy.observe;

import org.catkinproxy.burn.RequestStats;
import org.catkinproxy.burn.RequestStatsCounter;

import java.time.Duration;
import java.util.function.Consumer;

/**
 * Figures over a rolling window, kept in slices that expire one by one.
 *
 * <p>Covers at least the window and at most one slice more. Not safe for use by several threads.
 */
final class RollingFigures {
    private static final int SLICES = 5;

    private final long mSliceNanos;
    private final RequestStatsCounter[] mCounters = new RequestStatsCounter[SLICES + 1];
    private final long[] mEpochs = new long[SLICES + 1];

    RollingFigures(Duration window) {
        mSliceNanos = Math.max(1, window.toNanos() / SLICES);
    }

    /** Counts something at a time; {@code nanos} is on a monotonic clock. */
    void count(long nanos, Consumer<RequestStatsCounter> what) {
        long epoch = Math.floorDiv(nanos, mSliceNanos);
        int slot = (int) Math.floorMod(epoch, (long) mCounters.length);
        if (mCounters[slot] == null || mEpochs[slot] != epoch) {
            mCounters[slot] = new RequestStatsCounter();
            mEpochs[slot] = epoch;
        }
        what.accept(mCounters[slot]);
    }

    /** Returns the figures of the window that ends now. */
    RequestStats figures(long nanos) {
        long epoch = Math.floorDiv(nanos, mSliceNanos);
        RequestStatsCounter sum = new RequestStatsCounter();
        for (int slot = 0; slot < mCounters.length; slot++) {
            if (mCounters[slot] != null && epoch - mEpochs[slot] <= SLICES) {
                sum.add(mCounters[slot].toStats());
            }
        }
        return sum.toStats();
    }
}
