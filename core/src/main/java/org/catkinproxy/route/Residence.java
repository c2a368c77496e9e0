package org.catkinproxy.route;

/**
 * How long an engine's cache keeps a block that nothing uses, learnt from its evictions.
 *
 * <p>Entries of the index older than {@link #limitNanos} are not believed, so that lost eviction
 * events do no lasting harm. Not safe for use by several threads.
 */
final class Residence {
    private static final long INITIAL_LIMIT_NANOS = 30_000_000_000L;
    private static final long MIN_LIMIT_NANOS = 1_000_000_000L;
    private static final double GAIN = 0.02;

    /** Blocks outlive the mean by chance; only well beyond it are they given up. */
    private static final double LIMIT_PER_MEAN = 3;

    private double mMeanNanos = INITIAL_LIMIT_NANOS / LIMIT_PER_MEAN;

    void observe(long ageNanos) {
        mMeanNanos += GAIN * (ageNanos - mMeanNanos);
    }

    long limitNanos() {
        return Math.max(MIN_LIMIT_NANOS, (long) (mMeanNanos * LIMIT_PER_MEAN));
    }
}
