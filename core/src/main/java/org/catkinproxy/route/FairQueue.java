package org.catkinproxy.route;

import org.catkinproxy.id.WorkspaceId;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.TreeMap;

/**
 * The queued requests of one priority, ordered among workspaces by start-time fair queueing.
 *
 * <p>Each workspace has a virtual start time that increases by the cost of each served request
 * divided by the workspace's share; the workspace with the lowest one is served next. A workspace
 * that was idle starts at the current virtual time, so that it accumulates no credit. Requests of
 * one workspace are served in the order of their arrival. Not thread-safe.
 */
final class FairQueue {
    private final Map<WorkspaceId, Flow> mFlows = new TreeMap<>();
    private double mVirtualTime;
    private int mSize;

    /** The queued requests of one workspace. */
    private static final class Flow {
        private final WorkspaceId mWorkspace;
        private final ArrayDeque<QueuedRequest> mRequests = new ArrayDeque<>();
        private double mVirtualStart;

        Flow(WorkspaceId workspace, double start) {
            mWorkspace = workspace;
            mVirtualStart = start;
        }
    }

    /** A position in the requests of one workspace during {@link #collectFirst}. */
    private static final class Cursor {
        private final Flow mFlow;
        private final java.util.Iterator<QueuedRequest> mRemaining;
        private double mVirtualStart;

        Cursor(Flow flow) {
            mFlow = flow;
            mRemaining = flow.mRequests.iterator();
            mVirtualStart = flow.mVirtualStart;
        }
    }

    /** Returns the oldest request of a workspace, or null. */
    QueuedRequest oldest(WorkspaceId workspace) {
        Flow flow = mFlows.get(workspace);
        return flow == null ? null : flow.mRequests.peekFirst();
    }

    int size() {
        return mSize;
    }

    void add(QueuedRequest queued) {
        WorkspaceId workspace = queued.mRequest.workspace();
        Flow flow = mFlows.computeIfAbsent(workspace, w -> new Flow(w, mVirtualTime));
        if (flow.mRequests.isEmpty()) {
            flow.mVirtualStart = Math.max(flow.mVirtualStart, mVirtualTime);
        }
        flow.mRequests.addLast(queued);
        mSize++;
    }

    boolean remove(QueuedRequest queued) {
        Flow flow = mFlows.get(queued.mRequest.workspace());
        if (flow == null || !flow.mRequests.remove(queued)) {
            return false;
        }
        mSize--;
        return true;
    }

    /**
     * Charges a workspace for a served request.
     *
     * @param costPerShare the request's cost divided by the workspace's share
     */
    void charge(WorkspaceId workspace, double costPerShare) {
        Flow flow = mFlows.computeIfAbsent(workspace, w -> new Flow(w, mVirtualTime));
        mVirtualTime = Math.max(mVirtualTime, flow.mVirtualStart);
        flow.mVirtualStart = flow.mVirtualStart + costPerShare;
        mFlows.values().removeIf(f -> f.mRequests.isEmpty() && f.mVirtualStart <= mVirtualTime);
    }

    /** Adds the first {@code limit} requests in service order to {@code target}. */
    void collectFirst(int limit, WorkspaceShares shares, List<QueuedRequest> target) {
        PriorityQueue<Cursor> cursors =
                new PriorityQueue<>(
                        Comparator.<Cursor>comparingDouble(c -> c.mVirtualStart)
                                .thenComparing(c -> c.mFlow.mWorkspace));
        for (Flow flow : mFlows.values()) {
            if (!flow.mRequests.isEmpty()) {
                cursors.add(new Cursor(flow));
            }
        }
        for (int i = 0; i < limit && !cursors.isEmpty(); i++) {
            Cursor cursor = cursors.remove();
            QueuedRequest queued = cursor.mRemaining.next();
            target.add(queued);
            if (cursor.mRemaining.hasNext()) {
                cursor.mVirtualStart += queued.mCostTokens / shares.of(cursor.mFlow.mWorkspace);
                cursors.add(cursor);
            }
        }
    }

    /** Returns the newest request of the workspace with the most queued requests, or null. */
    QueuedRequest newestOfLongestFlow() {
        return mFlows.values().stream()
                .max(Comparator.comparingInt(f -> f.mRequests.size()))
                .map(f -> f.mRequests.peekLast())
                .orElse(null);
    }
}
