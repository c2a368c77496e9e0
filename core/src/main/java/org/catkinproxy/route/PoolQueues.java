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
 * One wait queue for each pool of engines, so that no pool's load holds back another's.
 *
 * <p>Answers the load pattern of one pool that is busy or has lost its engines while requests for
 * others keep coming. A pool's queue lasts as long as requests wait in it or its shares of service
 * matter. Not safe for use by several threads.
 */
final class PoolQueues {
    /** Queues of pools without requests are dropped above this number. */
    private static final int MAX_IDLE_POOLS = 64;

    private final Map<PoolId, WaitQueue> mQueues = new LinkedHashMap<>();
    private final Map<RequestId, PoolId> mPools = new HashMap<>();
    private ShareTable mShares = ShareTable.EQUAL;

    int size() {
        return mPools.size();
    }

    /** Returns the queues in which requests wait. */
    List<WaitQueue> busy() {
        return mQueues.values().stream().filter(q -> q.size() > 0).toList();
    }

    /** Returns all requests that wait. */
    Collection<Waiting> all() {
        List<Waiting> all = new ArrayList<>(size());
        mQueues.values().forEach(q -> all.addAll(q.all()));
        return all;
    }

    void setShares(ShareTable shares) {
        mShares = shares;
        mQueues.values().forEach(q -> q.setShares(shares));
    }

    /** Tells what {@link WaitQueue#isBehindOverdue} tells of the request's pool. */
    boolean isBehindOverdue(long nowNanos, RouteRequest request) {
        WaitQueue queue = mQueues.get(request.pool());
        return queue != null && queue.isBehindOverdue(nowNanos, request);
    }

    void add(Waiting waiting) {
        PoolId pool = waiting.mRequest.pool();
        mPools.put(waiting.mRequest.id(), pool);
        queue(pool).add(waiting);
    }

    Waiting get(RequestId request) {
        PoolId pool = mPools.get(request);
        return pool == null ? null : mQueues.get(pool).get(request);
    }

    void remove(Waiting waiting) {
        if (mPools.remove(waiting.mRequest.id()) != null) {
            mQueues.get(waiting.mRequest.pool()).remove(waiting);
        }
    }

    /** Removes a request that goes to an engine, and charges its workspace. */
    void serve(Waiting waiting) {
        mPools.remove(waiting.mRequest.id());
        mQueues.get(waiting.mRequest.pool()).serve(waiting);
    }

    /** Returns the request that a full router should give up: the least wanted of the longest. */
    Waiting leastWanted() {
        WaitQueue longest = null;
        for (WaitQueue queue : mQueues.values()) {
            longest = longest == null || queue.size() > longest.size() ? queue : longest;
        }
        return longest == null ? null : longest.leastWanted();
    }

    private WaitQueue queue(PoolId pool) {
        WaitQueue known = mQueues.get(pool);
        if (known != null) {
            return known;
        }
        if (mQueues.size() >= MAX_IDLE_POOLS) {
            mQueues.values().removeIf(q -> q.size() == 0);
        }
        WaitQueue queue = new WaitQueue();
        queue.setShares(mShares);
        mQueues.put(pool, queue);
        return queue;
    }
}
