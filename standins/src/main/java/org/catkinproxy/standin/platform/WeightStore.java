package org.catkinproxy.standin.platform;

import java.time.Duration;

/**
 * Says how long a download of weights takes, and which ones are over the rate.
 *
 * <p>Safe for use by any thread; all state is under one lock.
 */
final class WeightStore {
    private static final Duration LOAD_TIME = Duration.ofMillis(400);
    private static final long WINDOW_NANOS = Duration.ofSeconds(1).toNanos();

    private final int mFreeLoads;
    private final int mLoadsPerSecond;
    private long mWindowNanos = System.nanoTime();
    private int mInWindow;
    private int mRunning;

    /**
     * Creates a store.
     *
     * @param freeLoads how many downloads at a time do not slow each other down
     * @param loadsPerSecond how many downloads may begin in a second
     */
    WeightStore(int freeLoads, int loadsPerSecond) {
        mFreeLoads = freeLoads;
        mLoadsPerSecond = loadsPerSecond;
    }

    /** Begins a download if the rate allows it. */
    synchronized boolean begin(long nowNanos) {
        if (nowNanos - mWindowNanos >= WINDOW_NANOS) {
            mWindowNanos = nowNanos;
            mInWindow = 0;
        }
        if (mInWindow >= mLoadsPerSecond) {
            return false;
        }
        mInWindow++;
        mRunning++;
        return true;
    }

    synchronized void end() {
        mRunning--;
    }

    /** Returns how long a download takes that runs beside those that run now. */
    synchronized Duration loadTime() {
        int over = Math.max(0, mRunning - mFreeLoads);
        return LOAD_TIME.multipliedBy(1L + over);
    }
}
