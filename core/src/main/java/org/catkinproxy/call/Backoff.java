package org.catkinproxy.call;

/**
 * Pauses that double up to a limit.
 *
 * <p>Not safe for use by several threads; belongs to one attempt.
 */
final class Backoff {
    private static final long FIRST_MILLIS = 100;
    private static final int MAX_DOUBLINGS = 16;

    private int mPauses;

    /** Returns the next pause, at most {@code longestMillis}. */
    long nextMillis(long longestMillis) {
        long delay = FIRST_MILLIS << Math.min(mPauses++, MAX_DOUBLINGS);
        return Math.min(longestMillis, delay);
    }

    /** Begins again with the shortest pause. */
    void reset() {
        mPauses = 0;
    }
}
