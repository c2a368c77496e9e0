package org.catkinproxy.caller;

import org.catkinproxy.id.WorkspaceId;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.LongSupplier;

/**
 * Limits the request rate of each workspace by a token bucket that holds one second's requests.
 *
 * <p>Safe for use by any thread.
 */
final class RateLimiter {
    private static final double NANOS_PER_SECOND = 1e9;

    private final int mRequestsPerSecond;
    private final LongSupplier mNanoClock;
    private final Map<WorkspaceId, Bucket> mBuckets = new ConcurrentHashMap<>();

    RateLimiter(int requestsPerSecond, LongSupplier nanoClock) {
        mRequestsPerSecond = requestsPerSecond;
        mNanoClock = nanoClock;
    }

    /** Returns whether the workspace may send a request now, and if so counts it. */
    boolean tryAcquire(WorkspaceId workspace) {
        return mBuckets.computeIfAbsent(workspace, w -> new Bucket()).tryAcquire();
    }

    /** The token bucket of one workspace. */
    private final class Bucket {
        private double mAvailable = mRequestsPerSecond;
        private long mRefilledAt = mNanoClock.getAsLong();

        private synchronized boolean tryAcquire() {
            long now = mNanoClock.getAsLong();
            mAvailable =
                    Math.min(
                            mRequestsPerSecond,
                            mAvailable
                                    + (now - mRefilledAt) * mRequestsPerSecond / NANOS_PER_SECOND);
            mRefilledAt = now;
            if (mAvailable < 1) {
                return false;
            }
            mAvailable--;
            return true;
        }
    }
}
