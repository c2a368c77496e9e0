package org.catkinproxy.serving;

import java.util.random.RandomGenerator;

/**
 * Decides after which delay the caller of a refused request should retry.
 *
 * <p>The delays are spread at random, so that many callers that are refused together do not retry
 * together. The spread grows with the wait that the requests would have had. Stateless and
 * thread-safe.
 */
public final class RetryAfterPolicy {
    private static final long MIN_DELAY_MILLIS = 150;
    private static final long MIN_SPREAD_MILLIS = 450;

    /** Growth of the spread, in ms, with each ms of the wait. */
    private static final double SPREAD_PER_WAIT_MILLI = 1.5;

    /** The delay is at most the time until the caller's deadline divided by this number. */
    private static final int TIME_LEFT_DIVISOR = 3;

    private RetryAfterPolicy() {}

    /**
     * Returns the delay after which the caller should retry, in ms, at least 1.
     *
     * @param waitMillis how long the request would have waited in a queue, in ms
     * @param leftMillis the time until the caller's deadline, in ms
     * @param random the source of the random spread
     */
    public static long retryAfterMillis(long waitMillis, long leftMillis, RandomGenerator random) {
        long minDelay = MIN_DELAY_MILLIS + waitMillis / 2;
        long spread = MIN_SPREAD_MILLIS + (long) (SPREAD_PER_WAIT_MILLI * waitMillis);
        long delay = minDelay + random.nextLong(spread);
        return Math.max(1, Math.min(delay, leftMillis / TIME_LEFT_DIVISOR));
    }
}
