package org.catkinproxy.route;

import org.catkinproxy.config.Priority;
import org.catkinproxy.id.RequestId;

import java.util.ArrayList;
import java.util.Collection;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The requests that wait in this router: urgent ones first, fair among workspaces.
 *
 * <p>A lower priority goes ahead of a higher one once it was passed over for a fixed number of
 * dispatches, so that none starves. Listing takes time linear in the workspaces plus {@code limit}
 * logarithmic steps. Not safe for use by several threads.
 */
final class WaitQueue {
    /** After so many dispatches of higher priority, one of a lower one goes first. */
    private static final int MAX_PASSED_OVER = 7;

    /** What part of its time a request may wait here. */
    private static final double MAX_WAIT_SHARE = 0.2;

    private final Map<Priority, FairLane> mLanes = new EnumMap<>(Priority.class);
    private final Map<Priority, Integer> mPassedOver = new EnumMap<>(Priority.class);
    private final Map<RequestId, Waiting> mById = new LinkedHashMap<>();
    private ShareTable mShares = ShareTable.EQUAL;

    WaitQueue() {
        for (Priority priority : Priority.values()) {
            mLanes.put(priority, new FairLane());
            mPassedOver.put(priority, 0);
        }
    }

    int size() {
        return mById.size();
    }

    Collection<Waiting> all() {
        return mById.values();
    }

    void setShares(ShareTable shares) {
        mShares = shares;
    }

    /**
     * Tells whether a request would wait behind one of its workspace and priority that has waited
     * for a large part of the time which the new one has: it would be computed too late, and be
     * wasted.
     */
    boolean isBehindOverdue(long nowNanos, RouteRequest request) {
        Waiting oldest = mLanes.get(request.priority()).oldest(request.workspace());
        double patience = MAX_WAIT_SHARE * (request.deadlineNanos() - nowNanos);
        return oldest != null && nowNanos - oldest.mArrivedNanos > patience;
    }

    void add(Waiting waiting) {
        mById.put(waiting.mRequest.id(), waiting);
        mLanes.get(waiting.mRequest.priority()).add(waiting);
    }

    Waiting get(RequestId request) {
        return mById.get(request);
    }

    void remove(Waiting waiting) {
        if (mById.remove(waiting.mRequest.id(), waiting)) {
            mLanes.get(waiting.mRequest.priority()).remove(waiting);
        }
    }

    /** Returns the first requests in the order of service. */
    List<Waiting> first(int limit) {
        List<Waiting> order = new ArrayList<>();
        for (Priority priority : Priority.values()) {
            if (mPassedOver.get(priority) >= MAX_PASSED_OVER) {
                mLanes.get(priority).list(1, mShares, order);
            }
        }
        int ahead = order.size();
        for (Priority priority : Priority.values()) {
            mLanes.get(priority).list(limit - order.size() + ahead, mShares, order);
        }
        return order.stream().distinct().limit(limit).toList();
    }

    /** Removes a request that goes to an engine, and charges its workspace. */
    void serve(Waiting waiting) {
        remove(waiting);
        Priority served = waiting.mRequest.priority();
        double cost = waiting.mCostTokens / mShares.of(waiting.mRequest.workspace());
        mLanes.get(served).charge(waiting.mRequest.workspace(), cost);
        mPassedOver.put(served, 0);
        for (Priority lower : Priority.values()) {
            boolean passed = lower.compareTo(served) > 0 && mLanes.get(lower).size() > 0;
            if (passed) {
                mPassedOver.merge(lower, 1, Integer::sum);
            }
        }
    }

    /** Returns the request that a full queue should give up: the least urgent, of the longest. */
    Waiting leastWanted() {
        Waiting found = null;
        for (Priority priority : Priority.values()) {
            FairLane lane = mLanes.get(priority);
            found = lane.size() > 0 ? lane.latestOfLongest() : found;
        }
        return found;
    }
}
