package org.catkinproxy.route;

import org.catkinproxy.id.WorkspaceId;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.TreeMap;

/**
 * The waiting requests of one priority, in start-time fair order among workspaces.
 *
 * <p>Each workspace has a virtual start time that grows by the cost of what it was given, divided
 * by its share; the lowest is served next. A workspace that was idle begins at the present virtual
 * time, so that it saves up nothing. Requests of one workspace keep their order. Not safe for use
 * by several threads.
 */
final class FairLane {
    private final Map<WorkspaceId, Flow> mFlows = new TreeMap<>();
    private double mVirtualTime;
    private int mSize;

    /** One workspace's requests. */
    private static final class Flow {
        private final WorkspaceId mWorkspace;
        private final ArrayDeque<Waiting> mWaiting = new ArrayDeque<>();
        private double mStart;

        Flow(WorkspaceId workspace, double start) {
            mWorkspace = workspace;
            mStart = start;
        }
    }

    /** A place in one workspace's requests while the lane is listed. */
    private static final class Cursor {
        private final Flow mFlow;
        private final java.util.Iterator<Waiting> mRest;
        private double mStart;

        Cursor(Flow flow) {
            mFlow = flow;
            mRest = flow.mWaiting.iterator();
            mStart = flow.mStart;
        }
    }

    /** Returns the request of a workspace that has waited longest, or null. */
    Waiting oldest(WorkspaceId workspace) {
        Flow flow = mFlows.get(workspace);
        return flow == null ? null : flow.mWaiting.peekFirst();
    }

    int size() {
        return mSize;
    }

    void add(Waiting waiting) {
        WorkspaceId workspace = waiting.mRequest.workspace();
        Flow flow = mFlows.computeIfAbsent(workspace, w -> new Flow(w, mVirtualTime));
        if (flow.mWaiting.isEmpty()) {
            flow.mStart = Math.max(flow.mStart, mVirtualTime);
        }
        flow.mWaiting.addLast(waiting);
        mSize++;
    }

    boolean remove(Waiting waiting) {
        Flow flow = mFlows.get(waiting.mRequest.workspace());
        if (flow == null || !flow.mWaiting.remove(waiting)) {
            return false;
        }
        mSize--;
        return true;
    }

    /** Charges a workspace for what it was given. */
    void charge(WorkspaceId workspace, double costPerShare) {
        Flow flow = mFlows.computeIfAbsent(workspace, w -> new Flow(w, mVirtualTime));
        mVirtualTime = Math.max(mVirtualTime, flow.mStart);
        flow.mStart = flow.mStart + costPerShare;
        mFlows.values().removeIf(f -> f.mWaiting.isEmpty() && f.mStart <= mVirtualTime);
    }

    /** Adds the first {@code limit} requests in the order of service to {@code target}. */
    void list(int limit, ShareTable shares, List<Waiting> target) {
        PriorityQueue<Cursor> next =
                new PriorityQueue<>(
                        Comparator.<Cursor>comparingDouble(c -> c.mStart)
                                .thenComparing(c -> c.mFlow.mWorkspace));
        for (Flow flow : mFlows.values()) {
            if (!flow.mWaiting.isEmpty()) {
                next.add(new Cursor(flow));
            }
        }
        for (int i = 0; i < limit && !next.isEmpty(); i++) {
            Cursor cursor = next.remove();
            Waiting waiting = cursor.mRest.next();
            target.add(waiting);
            if (cursor.mRest.hasNext()) {
                cursor.mStart += waiting.mCostTokens / shares.of(cursor.mFlow.mWorkspace);
                next.add(cursor);
            }
        }
    }

    /** Returns the latest request of the workspace that has the most of them waiting. */
    Waiting latestOfLongest() {
        return mFlows.values().stream()
                .max(Comparator.comparingInt(f -> f.mWaiting.size()))
                .map(f -> f.mWaiting.peekLast())
                .orElse(null);
    }
}
