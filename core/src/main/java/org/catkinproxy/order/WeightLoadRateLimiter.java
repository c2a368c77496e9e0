package org.catkinproxy.order;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * A token bucket that limits the rate at which weight loads begin, so that the weight store is not
 * overloaded.
 *
 * <p>Times are readings of the owner's monotonic clock, in nanoseconds. Not thread-safe.
 */
public final class WeightLoadRateLimiter {
    private static final double NANOS_PER_SECOND = 1e9;

    private final double mLoadsPerSecond;
    private final double mMaxBurst;
    private double mAvailableLoads;
    private long mUpdatedAt;

    private WeightLoadRateLimiter(double loadsPerSecond, int burst, long now) {
        checkArgument(loadsPerSecond > 0, "loadsPerSecond is not positive: %s", loadsPerSecond);
        checkArgument(burst >= 1, "burst is below 1: %s", burst);
        mLoadsPerSecond = loadsPerSecond;
        mMaxBurst = burst;
        mAvailableLoads = burst;
        mUpdatedAt = now;
    }

    /** Returns a limiter that lets {@code burst} loads begin immediately. */
    public static WeightLoadRateLimiter of(double loadsPerSecond, int burst, long now) {
        return new WeightLoadRateLimiter(loadsPerSecond, burst, now);
    }

    /** Returns the number of loads that may begin at {@code now}. */
    public int availableLoads(long now) {
        double refill = (now - mUpdatedAt) / NANOS_PER_SECOND * mLoadsPerSecond;
        mAvailableLoads = Math.min(mMaxBurst, mAvailableLoads + refill);
        mUpdatedAt = now;
        return (int) mAvailableLoads;
    }

    /** Takes one token for a load that begins. */
    public void recordLoad() {
        mAvailableLoads -= 1;
    }
}
