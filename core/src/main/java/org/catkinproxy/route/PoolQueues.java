package org.catkinproxy.route;

import org.catkinproxy.id.PoolId;
import org.catkinproxy.id.RequestId;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * One wait queue per pool of engines, which prevents head-of-line blocking between pools.
 *
 * <p>Requests for a pool that is overloaded or has lost its engines do not delay requests for other
 * pools. The queue of a pool without requests is kept for its fair-queueing state and may be
 * removed when there are many pools. Not thread-safe.
 */
final class PoolQueues {
    /** The number of queues at which empty ones are removed before another is added. */
    private static final int IDLE_QUEUE_CLEANUP_THRESHOLD = 64;

    private final Map<PoolId, WaitQueue> mQueues = new LinkedHashMap<>();
    private final Map<RequestId, PoolId> mPoolByRequest = new HashMap<>();
    private WorkspaceShares mShares = WorkspaceShares.EQUAL;

    int size() {
        return mPoolByRequest.size();
    }

    /** Returns the queues that hold requests. */
    List<WaitQueue> nonEmptyQueues() {
        return mQueues.values().stream().filter(q -> q.size() > 0).toList();
    }

    /** Returns all queued requests. */
    Collection<QueuedRequest> all() {
        List<QueuedRequest> all = new ArrayList<>(size());
        mQueues.values().forEach(q -> all.addAll(q.all()));
        return all;
    }

    void setShares(WorkspaceShares shares) {
        mShares = shares;
        mQueues.values().forEach(q -> q.setShares(shares));
    }

    /** Calls {@link WaitQueue#wouldWaitTooLong} on the queue of the request's pool. */
    boolean wouldWaitTooLong(long nowNanos, RouteRequest request) {
        WaitQueue queue = mQueues.get(request.pool());
        return queue != null && queue.wouldWaitTooLong(nowNanos, request);
    }

    void add(QueuedRequest queued) {
        PoolId pool = queued.mRequest.pool();
        mPoolByRequest.put(queued.mRequest.id(), pool);
        queue(pool).add(queued);
    }

    /** Returns the queued request, or null. */
    QueuedRequest get(RequestId request) {
        PoolId pool = mPoolByRequest.get(request);
        return pool == null ? null : mQueues.get(pool).get(request);
    }

    void remove(QueuedRequest queued) {
        if (mPoolByRequest.remove(queued.mRequest.id()) != null) {
            mQueues.get(queued.mRequest.pool()).remove(queued);
        }
    }

    /** Removes a request that is dispatched, and charges its cost to its workspace. */
    void serve(QueuedRequest queued) {
        mPoolByRequest.remove(queued.mRequest.id());
        mQueues.get(queued.mRequest.pool()).serve(queued);
    }

    /** Returns the request of the longest queue to shed when too many are queued, or null. */
    QueuedRequest requestToShed() {
        WaitQueue longest = null;
        for (WaitQueue queue : mQueues.values()) {
            longest = longest == null || queue.size() > longest.size() ? queue : longest;
        }
        return longest == null ? null : longest.requestToShed();
    }

    private WaitQueue queue(PoolId pool) {
        WaitQueue known = mQueues.get(pool);
        if (known != null) {
            return known;
        }
        if (mQueues.size() >= IDLE_QUEUE_CLEANUP_THRESHOLD) {
            mQueues.values().removeIf(q -> q.size() == 0);
        }
        WaitQueue queue = new WaitQueue();
        queue.setShares(mShares);
        mQueues.put(pool, queue);
        return queue;
    }
}
