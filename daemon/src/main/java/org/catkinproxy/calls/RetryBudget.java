package org.catkinproxy.calls;

/**
 * Limits retries to a fraction of the calls, so that retries cannot amplify an overload.
 *
 * <p>Each call adds a fraction of a retry to the budget, and each retry takes a whole one. Safe for
 * use by any thread; all methods are synchronized.
 */
final class RetryBudget {
    private static final double RETRIES_PER_CALL = 0.1;
    private static final double MAX_RETRIES = 20;

    private double mRetries = MAX_RETRIES;

    /** Adds one call's share to the budget. */
    synchronized void addCall() {
        mRetries = Math.min(MAX_RETRIES, mRetries + RETRIES_PER_CALL);
    }

    /** Takes one retry from the budget, or returns false if less than one is left. */
    synchronized boolean tryWithdraw() {
        if (mRetries < 1) {
            return false;
        }
        mRetries -= 1;
        return true;
    }
}
