package org.catkinproxy.serving;

import java.util.random.RandomGenerator;

/**
 * Decides when a caller that is turned away is to come back.
 *
 * <p>Answers the load pattern of many callers that are turned away together: they come back spread
 * over a time that grows with the wait that they would have had. Stateless, and so safe for use by
 * any thread.
 */
public final class ReturnTimes {
    private static final long LEAST_MILLIS = 150;
    private static final long SPREAD_MILLIS = 450;

    /** The spread grows by so much with each millisecond of the wait. */
    private static final double SPREAD_OF_WAIT = 1.5;

    /** Callers come back only within this part of the time that they have left. */
    private static final int PARTS_OF_TIME_LEFT = 3;

    private ReturnTimes() {}

    /**
     * Returns after how many milliseconds the caller is to come back, 1 at least.
     *
     * @param waitMillis how long its request would have waited
     * @param leftMillis how long the caller waits for its answer in all
     */
    public static long afterMillis(long waitMillis, long leftMillis, RandomGenerator random) {
        long least = LEAST_MILLIS + waitMillis / 2;
        long spread = SPREAD_MILLIS + (long) (SPREAD_OF_WAIT * waitMillis);
        long after = least + random.nextLong(spread);
        return Math.max(1, Math.min(after, leftMillis / PARTS_OF_TIME_LEFT));
    }
}
