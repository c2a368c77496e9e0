package org.catkinproxy.route;

/**
 * Estimates how long an engine's cache keeps an unused block, from the ages of evicted blocks.
 *
 * <p>The index ignores an engine's blocks that are older than {@link #ageLimitNanos}, so that lost
 * eviction events have no lasting effect. Not thread-safe.
 */
final class BlockLifetimeEstimate {
    private static final long INITIAL_AGE_LIMIT_NANOS = 30_000_000_000L;
    private static final long MIN_AGE_LIMIT_NANOS = 1_000_000_000L;
    private static final double SMOOTHING_FACTOR = 0.02;

    /** The age limit is well above the mean lifetime because some blocks outlive the mean. */
    private static final double AGE_LIMIT_PER_MEAN = 3;

    private double mMeanLifetimeNanos = INITIAL_AGE_LIMIT_NANOS / AGE_LIMIT_PER_MEAN;

    /** Adds the time between the last confirmation and the eviction of one block. */
    void addEvictionAge(long ageNanos) {
        mMeanLifetimeNanos += SMOOTHING_FACTOR * (ageNanos - mMeanLifetimeNanos);
    }

    /** Returns the age above which a block is expected to be evicted. */
    long ageLimitNanos() {
        return Math.max(MIN_AGE_LIMIT_NANOS, (long) (mMeanLifetimeNanos * AGE_LIMIT_PER_MEAN));
    }
}
