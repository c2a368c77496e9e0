package org.catkinproxy.route;

/**
 * Limits retries to a fraction of the new requests, so that failures do not amplify the load.
 *
 * <p>When an engine crashes, many requests are retried at once; a reserve of retries covers these.
 * Not thread-safe.
 */
final class DispatchRetryBudget {
    private static final double RETRIES_PER_ARRIVAL = 0.2;
    private static final double RESERVE_RETRIES = 100;

    private double mAvailableRetries = RESERVE_RETRIES;

    /** Adds a part of a retry to the budget for a new request. */
    void recordArrival() {
        mAvailableRetries = Math.min(RESERVE_RETRIES, mAvailableRetries + RETRIES_PER_ARRIVAL);
    }

    /** Takes one retry from the budget, and returns false if there is none left. */
    boolean tryRetry() {
        if (mAvailableRetries < 1) {
            return false;
        }
        mAvailableRetries--;
        return true;
    }
}
