package org.catkinproxy.route;

/**
 * Allows retries as a share of first arrivals, so that failures do not multiply the load.
 *
 * <p>A crash makes many requests come back at once; the reserve lets these pass. Not safe for use
 * by several threads.
 */
final class RetryBudget {
    private static final double RETRIES_PER_ARRIVAL = 0.2;
    private static final double RESERVE = 100;

    private double mTokens = RESERVE;

    void arrived() {
        mTokens = Math.min(RESERVE, mTokens + RETRIES_PER_ARRIVAL);
    }

    boolean tryRetry() {
        if (mTokens < 1) {
            return false;
        }
        mTokens--;
        return true;
    }
}
