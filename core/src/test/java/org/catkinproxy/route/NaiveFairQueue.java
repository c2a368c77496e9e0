package org.catkinproxy.route;

import org.catkinproxy.config.Priority;
import org.catkinproxy.id.RequestId;
import org.catkinproxy.id.WorkspaceId;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The order of service spelt out: nothing is kept sorted and nothing is ever forgotten. */
final class NaiveFairQueue {
    final List<Waiting> mWaiting = new ArrayList<>();
    private final Map<Priority, Map<WorkspaceId, Double>> mStarts = new HashMap<>();
    private final Map<Priority, Double> mVirtualTimes = new HashMap<>();
    private final Map<Priority, Integer> mPassedOver = new HashMap<>();
    private Map<WorkspaceId, Integer> mShares = Map.of();

    void setShares(Map<WorkspaceId, Integer> shares) {
        mShares = shares;
    }

    void add(Waiting waiting) {
        Priority priority = waiting.mRequest.priority();
        WorkspaceId workspace = waiting.mRequest.workspace();
        if (of(priority, workspace).isEmpty()) {
            double now = mVirtualTimes.getOrDefault(priority, 0.0);
            starts(priority).merge(workspace, now, Math::max);
        }
        mWaiting.add(waiting);
    }

    void serve(Waiting waiting) {
        mWaiting.remove(waiting);
        Priority priority = waiting.mRequest.priority();
        WorkspaceId workspace = waiting.mRequest.workspace();
        double start = starts(priority).get(workspace);
        mVirtualTimes.merge(priority, start, Math::max);
        starts(priority).put(workspace, start + waiting.mCostTokens / share(workspace));
        mPassedOver.put(priority, 0);
        for (Priority lower : Priority.values()) {
            if (lower.compareTo(priority) > 0 && !of(lower).isEmpty()) {
                mPassedOver.merge(lower, 1, Integer::sum);
            }
        }
    }

    /** Returns the order in which all would be served if nothing else came. */
    List<RequestId> order() {
        List<Waiting> order = new ArrayList<>();
        for (Priority priority : Priority.values()) {
            if (mPassedOver.getOrDefault(priority, 0) >= 7) {
                order.addAll(fairOrder(priority).stream().limit(1).toList());
            }
        }
        for (Priority priority : Priority.values()) {
            order.addAll(fairOrder(priority));
        }
        return order.stream().distinct().map(w -> w.mRequest.id()).toList();
    }

    /** Returns those that a full queue may give up. */
    List<RequestId> leastWanted() {
        List<Waiting> lowest = List.of();
        for (Priority priority : Priority.values()) {
            lowest = of(priority).isEmpty() ? lowest : of(priority);
        }
        Map<WorkspaceId, List<Waiting>> byWorkspace = new TreeMap<>();
        for (Waiting waiting : lowest) {
            byWorkspace
                    .computeIfAbsent(waiting.mRequest.workspace(), w -> new ArrayList<>())
                    .add(waiting);
        }
        int longest = byWorkspace.values().stream().mapToInt(List::size).max().orElse(0);
        return byWorkspace.values().stream()
                .filter(list -> list.size() == longest)
                .map(list -> list.get(longest - 1).mRequest.id())
                .toList();
    }

    /** Tells whether one of the same workspace and priority waits a fifth of the time left. */
    boolean isBehindOverdue(long now, RouteRequest request) {
        return of(request.priority(), request.workspace()).stream()
                .anyMatch(w -> now - w.mArrivedNanos > 0.2 * (request.deadlineNanos() - now));
    }

    private List<Waiting> fairOrder(Priority priority) {
        Map<WorkspaceId, Double> starts = new TreeMap<>(starts(priority));
        List<Waiting> left = new ArrayList<>(of(priority));
        List<Waiting> order = new ArrayList<>();
        while (!left.isEmpty()) {
            Waiting next = null;
            for (Waiting waiting : left) {
                next = next == null || isBefore(waiting, next, starts) ? waiting : next;
            }
            left.remove(next);
            order.add(next);
            WorkspaceId workspace = next.mRequest.workspace();
            starts.merge(workspace, next.mCostTokens / share(workspace), Double::sum);
        }
        return order;
    }

    private static boolean isBefore(Waiting a, Waiting b, Map<WorkspaceId, Double> starts) {
        WorkspaceId one = a.mRequest.workspace();
        WorkspaceId other = b.mRequest.workspace();
        int order = Double.compare(starts.get(one), starts.get(other));
        return order < 0 || order == 0 && one.compareTo(other) < 0;
    }

    private List<Waiting> of(Priority priority) {
        return mWaiting.stream().filter(w -> w.mRequest.priority() == priority).toList();
    }

    private List<Waiting> of(Priority priority, WorkspaceId workspace) {
        return of(priority).stream().filter(w -> w.mRequest.workspace().equals(workspace)).toList();
    }

    private Map<WorkspaceId, Double> starts(Priority priority) {
        return mStarts.computeIfAbsent(priority, p -> new TreeMap<>());
    }

    private double share(WorkspaceId workspace) {
        return mShares.getOrDefault(workspace, 1);
    }
}
