package org.catkinproxy.calls;

/**
 * Bounds retries to a share of the calls, so that they can not multiply an overload.
 *
 * <p>Every call adds a fraction of a retry, every retry takes a whole one. Safe for use by any
 * thread; all methods are synchronized.
 */
final class RetryBudget {
    private static final double SHARE = 0.1;
    private static final double MAX_SAVED = 20;

    private double mSaved = MAX_SAVED;

    /** Notes a call. */
    synchronized void deposit() {
        mSaved = Math.min(MAX_SAVED, mSaved + SHARE);
    }

    /** Takes a retry if there is one left. */
    synchronized boolean tryWithdraw() {
        if (mSaved < 1) {
            return false;
        }
        mSaved -= 1;
        return true;
    }
}
