package org.catkinproxy.serving;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Estimates how long received data waits until a busy event loop reads it.
 *
 * <p>The load pattern: a process with a small share of a processor has just started, or was paused,
 * and its loop needs a second or more for one turn. Requests that it reads have then been waiting
 * since the turn before, and part of their callers' time has passed. The estimate comes from a
 * periodic task of the loop that runs late. Data may have arrived at the beginning of a turn, and
 * counts as if it had: a request that is sent after its deadline costs an upstream work for nobody.
 *
 * <p>The task runs at most once in a turn, also when it is behind by several intervals. So what is
 * read now was not there yet when the task ran for the last time but one, if its connection was
 * accepted before that.
 *
 * <p>Not thread-safe; all times are in nanoseconds of the owner's monotonic clock.
 */
public final class LoopDelayEstimator {
    /** Lateness of the task up to which the loop counts as idle. */
    private static final long TOLERANCE_NANOS = 50_000_000L;

    private final long mIntervalNanos;
    private long mLastTickAt;
    private long mPreviousTickAt;
    private long mLastLateGapNanos;

    private LoopDelayEstimator(long intervalNanos, long now) {
        mIntervalNanos = intervalNanos;
        mLastTickAt = now;
        mPreviousTickAt = now;
    }

    /**
     * Returns an estimator.
     *
     * @param intervalNanos the interval at which {@link #onTick} is called if the loop is idle
     */
    public static LoopDelayEstimator of(long intervalNanos, long now) {
        checkArgument(intervalNanos > 0, "intervalNanos is not positive: %s", intervalNanos);
        return new LoopDelayEstimator(intervalNanos, now);
    }

    /** Records a run of the periodic task. */
    public void onTick(long now) {
        mLastLateGapNanos = isLate(now) ? now - mLastTickAt : 0;
        mPreviousTickAt = mLastTickAt;
        mLastTickAt = now;
    }

    private boolean isLate(long now) {
        return now - mLastTickAt > mIntervalNanos + TOLERANCE_NANOS;
    }

    /**
     * Returns how long a turn of the loop takes, in ns: the present one if the task is overdue, and
     * otherwise the last one; 0 if the loop keeps up.
     */
    public long turnNanos(long now) {
        return isLate(now) ? Math.max(now - mLastTickAt, mLastLateGapNanos) : mLastLateGapNanos;
    }

    /**
     * Returns the longest time, in ns, that something may have waited which the loop finds at
     * {@code now} and did not find in its last turn.
     */
    public long maxWaitNanos(long now) {
        return (isLate(now) ? now - mLastTickAt : 0) + mLastLateGapNanos;
    }

    /**
     * Returns the longest time, in ns, that data may have waited which is read at {@code now}.
     *
     * @param acceptedAt when the loop accepted the connection of the data
     * @param acceptWaitNanos how long the connection may have waited until then; the data may have
     *     been there as long if the loop has not looked for it before
     */
    public long maxWaitNanos(long now, long acceptedAt, long acceptWaitNanos) {
        long waitNanos = maxWaitNanos(now);
        if (acceptedAt - mPreviousTickAt <= 0) {
            return waitNanos;
        }
        boolean keptUp = waitNanos == 0 && acceptWaitNanos == 0;
        return keptUp ? 0 : now - acceptedAt + acceptWaitNanos;
    }
}
