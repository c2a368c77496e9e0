package org.catkinproxy.serving;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * One instance's share of the retry budget that all instances together have for one service.
 *
 * <p>In any window, all instances together may send as many retries as {@code retryRatio} times the
 * requests of the window, plus {@code extraRetries}. An instance decides without asking the others:
 * it may spend the ratio of its own requests and an equal share of the extra retries. The budget
 * prevents retries from multiplying the load on the remaining upstreams when many requests fail at
 * once, for example when an upstream crashes. Not thread-safe.
 */
public final class SharedRetryBudget {
    private static final int BUCKETS = 20;

    /** Lowers the ratio, because the windows of the instances are not aligned. */
    private static final double RATIO_SAFETY_FACTOR = 0.8;

    /**
     * Lowers the extra retries, because instances learn the instance count with a delay and a
     * restarted instance has lost the counts of its window.
     */
    private static final double EXTRA_SAFETY_FACTOR = 0.45;

    private final double mRetryRatio;
    private final double mExtraRetries;
    private final long mBucketNanos;
    private final long[] mRequests = new long[BUCKETS];
    private final long[] mRetries = new long[BUCKETS];
    private long mCurrentBucket;

    private SharedRetryBudget(double retryRatio, double extraRetries, long windowNanos) {
        checkArgument(
                retryRatio >= 0 && extraRetries >= 0,
                "retryRatio or extraRetries is negative: %s, %s",
                retryRatio,
                extraRetries);
        checkArgument(windowNanos > 0, "windowNanos is not positive: %s", windowNanos);
        mRetryRatio = retryRatio;
        mExtraRetries = extraRetries;
        mBucketNanos = windowNanos / BUCKETS;
    }

    /**
     * Returns a budget without any requests or retries yet.
     *
     * @param retryRatio the retries that each request allows
     * @param extraRetries the retries that all instances together may send per window in addition
     * @param windowNanos the length of the window, in ns
     */
    public static SharedRetryBudget of(double retryRatio, double extraRetries, long windowNanos) {
        return new SharedRetryBudget(retryRatio, extraRetries, windowNanos);
    }

    /** Counts a caller's request at {@code now}, in ns. */
    public void recordRequest(long now) {
        advance(now);
        mRequests[index(mCurrentBucket)]++;
    }

    /**
     * Counts a retry if the budget allows it.
     *
     * @param now the time, in ns
     * @param instances the number of instances that share the budget
     * @return whether the retry may be sent
     */
    public boolean tryRetry(long now, int instances) {
        advance(now);
        double ownRetries = RATIO_SAFETY_FACTOR * mRetryRatio * sum(mRequests);
        double allowed = ownRetries + EXTRA_SAFETY_FACTOR * mExtraRetries / Math.max(1, instances);
        if (sum(mRetries) + 1 > allowed) {
            return false;
        }
        mRetries[index(mCurrentBucket)]++;
        return true;
    }

    private void advance(long now) {
        long bucket = Math.floorDiv(now, mBucketNanos);
        long steps = Math.min(bucket - mCurrentBucket, BUCKETS);
        for (long i = 0; i < steps; i++) {
            int stale = index(bucket - i);
            mRequests[stale] = 0;
            mRetries[stale] = 0;
        }
        mCurrentBucket = Math.max(mCurrentBucket, bucket);
    }

    private static int index(long bucket) {
        return (int) Math.floorMod(bucket, (long) BUCKETS);
    }

    private static long sum(long[] buckets) {
        long sum = 0;
        for (long count : buckets) {
            sum += count;
        }
        return sum;
    }
}
