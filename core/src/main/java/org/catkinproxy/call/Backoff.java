package org.catkinproxy.call;

/**
 * Exponential backoff: each delay is twice the previous one, up to a limit.
 *
 * <p>Not thread-safe; each attempt has its own.
 */
final class Backoff {
    private static final long INITIAL_DELAY_MILLIS = 100;
    private static final int MAX_DOUBLINGS = 16;

    private int mDelayCount;

    /** Returns the next delay in milliseconds, at most {@code maxDelayMillis}. */
    long nextDelayMillis(long maxDelayMillis) {
        long delay = INITIAL_DELAY_MILLIS << Math.min(mDelayCount++, MAX_DOUBLINGS);
        return Math.min(maxDelayMillis, delay);
    }

    /** Resets the next delay to the initial one. */
    void reset() {
        mDelayCount = 0;
    }
}
