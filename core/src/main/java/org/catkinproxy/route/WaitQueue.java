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
 * The queued requests of one pool, ordered by priority and fairly among workspaces.
 *
 * <p>A lower priority is served ahead of higher ones once it was bypassed a fixed number of times,
 * so that no priority starves. Listing {@code limit} requests takes time linear in the workspaces,
 * plus {@code limit} steps that are logarithmic in them. Not thread-safe.
 */
final class WaitQueue {
    /** How often requests of higher priority are served before one of a lower priority is next. */
    private static final int MAX_BYPASSES = 7;

    /**
     * The part of the time left before a request's deadline that the oldest request ahead of it may
     * have waited.
     */
    private static final double MAX_WAIT_FRACTION = 0.2;

    private final Map<Priority, FairQueue> mFairQueues = new EnumMap<>(Priority.class);
    private final Map<Priority, Integer> mBypassCounts = new EnumMap<>(Priority.class);
    private final Map<RequestId, QueuedRequest> mById = new LinkedHashMap<>();
    private WorkspaceShares mShares = WorkspaceShares.EQUAL;

    WaitQueue() {
        for (Priority priority : Priority.values()) {
            mFairQueues.put(priority, new FairQueue());
            mBypassCounts.put(priority, 0);
        }
    }

    int size() {
        return mById.size();
    }

    Collection<QueuedRequest> all() {
        return mById.values();
    }

    void setShares(WorkspaceShares shares) {
        mShares = shares;
    }

    /**
     * Returns whether a request should be refused because the oldest queued request of its
     * workspace and priority has waited for a large part of the time before the new request's
     * deadline. The new request would probably be computed too late, which would waste the
     * computation.
     */
    boolean wouldWaitTooLong(long nowNanos, RouteRequest request) {
        QueuedRequest oldest = mFairQueues.get(request.priority()).oldest(request.workspace());
        double maxWaitNanos = MAX_WAIT_FRACTION * (request.deadlineNanos() - nowNanos);
        return oldest != null && nowNanos - oldest.mArrivedNanos > maxWaitNanos;
    }

    void add(QueuedRequest queued) {
        mById.put(queued.mRequest.id(), queued);
        mFairQueues.get(queued.mRequest.priority()).add(queued);
    }

    /** Returns the queued request, or null. */
    QueuedRequest get(RequestId request) {
        return mById.get(request);
    }

    void remove(QueuedRequest queued) {
        if (mById.remove(queued.mRequest.id(), queued)) {
            mFairQueues.get(queued.mRequest.priority()).remove(queued);
        }
    }

    /** Returns the first {@code limit} requests in service order. */
    List<QueuedRequest> first(int limit) {
        List<QueuedRequest> order = new ArrayList<>();
        for (Priority priority : Priority.values()) {
            if (mBypassCounts.get(priority) >= MAX_BYPASSES) {
                mFairQueues.get(priority).collectFirst(1, mShares, order);
            }
        }
        int promoted = order.size();
        for (Priority priority : Priority.values()) {
            mFairQueues.get(priority).collectFirst(limit - order.size() + promoted, mShares, order);
        }
        return order.stream().distinct().limit(limit).toList();
    }

    /** Removes a request that is dispatched, and charges its cost to its workspace. */
    void serve(QueuedRequest queued) {
        remove(queued);
        Priority served = queued.mRequest.priority();
        double costPerShare = queued.mCostTokens / mShares.of(queued.mRequest.workspace());
        mFairQueues.get(served).charge(queued.mRequest.workspace(), costPerShare);
        mBypassCounts.put(served, 0);
        for (Priority lower : Priority.values()) {
            boolean bypassed = lower.compareTo(served) > 0 && mFairQueues.get(lower).size() > 0;
            if (bypassed) {
                mBypassCounts.merge(lower, 1, Integer::sum);
            }
        }
    }

    /**
     * Returns the request to shed when the queue is full, or null: the newest one of the workspace
     * with the most requests of the lowest queued priority.
     */
    QueuedRequest requestToShed() {
        QueuedRequest candidate = null;
        for (Priority priority : Priority.values()) {
            FairQueue queue = mFairQueues.get(priority);
            candidate = queue.size() > 0 ? queue.newestOfLongestFlow() : candidate;
        }
        return candidate;
    }
}
