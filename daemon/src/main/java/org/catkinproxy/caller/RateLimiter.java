package org.catkinproxy.caller;

import org.catkinproxy.id.WorkspaceId;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.LongSupplier;

/**
 * Bounds the requests a second of each workspace, with bursts of up to one second's worth.
 *
 * <p>Safe for use by any thread.
 */
final class RateLimiter {
    private static final double NANOS_PER_SECOND = 1e9;

    private final int mPerSecond;
    private final LongSupplier mClock;
    private final Map<WorkspaceId, Bucket> mBuckets = new ConcurrentHashMap<>();

    RateLimiter(int perSecond, LongSupplier clock) {
        mPerSecond = perSecond;
        mClock = clock;
    }

    /** Takes one request from the workspace's rate; false if there is none left. */
    boolean tryAcquire(WorkspaceId workspace) {
        return mBuckets.computeIfAbsent(workspace, w -> new Bucket()).tryTake();
    }

    /** The requests that one workspace may still make at once. */
    private final class Bucket {
        private double mLeft = mPerSecond;
        private long mFilledAt = mClock.getAsLong();

        private synchronized boolean tryTake() {
            long now = mClock.getAsLong();
            mLeft = Math.min(mPerSecond, mLeft + (now - mFilledAt) * mPerSecond / NANOS_PER_SECOND);
            mFilledAt = now;
            if (mLeft < 1) {
                return false;
            }
            mLeft--;
            return true;
        }
    }
}
