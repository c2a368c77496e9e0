package org.catkinproxy.order;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Bounds how many weight loads begin in a time, so that the weight store keeps up.
 *
 * <p>Times are those of the owner's monotonic clock, in nanoseconds. Not safe for use by several
 * threads.
 */
public final class LoadRate {
    private static final double NANOS_PER_SECOND = 1e9;

    private final double mPerSecond;
    private final double mBurst;
    private double mSaved;
    private long mAt;

    private LoadRate(double perSecond, int burst, long now) {
        checkArgument(perSecond > 0, "perSecond is not positive: %s", perSecond);
        checkArgument(burst >= 1, "burst is below 1: %s", burst);
        mPerSecond = perSecond;
        mBurst = burst;
        mSaved = burst;
        mAt = now;
    }

    /** Returns a rate of which {@code burst} loads are available at once. */
    public static LoadRate of(double perSecond, int burst, long now) {
        return new LoadRate(perSecond, burst, now);
    }

    /** Returns how many loads may begin at {@code now}. */
    public int available(long now) {
        double gained = (now - mAt) / NANOS_PER_SECOND * mPerSecond;
        mSaved = Math.min(mBurst, mSaved + gained);
        mAt = now;
        return (int) mSaved;
    }

    /** Notes that a load begins. */
    public void take() {
        mSaved -= 1;
    }
}
