package org.catkinproxy.burn;

import org.catkinproxy.config.ServiceLevelObjectives;
import org.catkinproxy.id.WorkspaceId;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The burn rates of all workspaces, computed from the statistics of any number of daemons.
 *
 * <p>Immutable and thread-safe.
 */
public final class BurnReport {
    private final List<ObjectiveBurnRate> mRows;
    private final Map<WorkspaceId, RequestStats> mLongWindowStats;

    private BurnReport(
            List<ObjectiveBurnRate> rows, Map<WorkspaceId, RequestStats> longWindowStats) {
        mRows = List.copyOf(rows);
        mLongWindowStats = Map.copyOf(longWindowStats);
    }

    /**
     * Computes the report over all requests in the snapshots.
     *
     * <p>If the objectives of a workspace differ between snapshots, those of the highest revision
     * apply.
     */
    public static BurnReport of(Collection<RequestStatsSnapshot> snapshots) {
        Map<WorkspaceId, ServiceLevelObjectives> objectives = latestObjectives(snapshots);
        Map<WorkspaceId, Map<String, WorkspaceEngineStats>> statsByWorkspace =
                mergeStats(snapshots);
        List<ObjectiveBurnRate> rows = new ArrayList<>();
        for (BurnObjective objective : BurnObjective.values()) {
            rows.addAll(createRows(objective, objectives, statsByWorkspace));
        }
        rows.sort(Comparator.comparing(ObjectiveBurnRate::workspace));
        Map<WorkspaceId, RequestStats> longWindowStats = new TreeMap<>();
        statsByWorkspace.forEach((w, c) -> longWindowStats.put(w, sumOfEngines(c).longWindow()));
        return new BurnReport(rows, longWindowStats);
    }

    /** Returns one row for each workspace and objective, sorted by workspace. */
    public List<ObjectiveBurnRate> rows() {
        return mRows;
    }

    /** Returns the statistics of a workspace in the long window, empty if it is unknown. */
    public RequestStats longWindowStats(WorkspaceId workspace) {
        return mLongWindowStats.getOrDefault(workspace, RequestStats.EMPTY);
    }

    private static Map<WorkspaceId, ServiceLevelObjectives> latestObjectives(
            Collection<RequestStatsSnapshot> snapshots) {
        Map<WorkspaceId, ServiceLevelObjectives> latest = new TreeMap<>();
        snapshots.stream()
                .sorted(Comparator.comparing(RequestStatsSnapshot::revision))
                .forEach(s -> latest.putAll(s.objectives()));
        return latest;
    }

    private static Map<WorkspaceId, Map<String, WorkspaceEngineStats>> mergeStats(
            Collection<RequestStatsSnapshot> snapshots) {
        Map<WorkspaceId, Map<String, WorkspaceEngineStats>> merged = new TreeMap<>();
        for (RequestStatsSnapshot snapshot : snapshots) {
            for (WorkspaceEngineStats stats : snapshot.engineStats()) {
                merged.computeIfAbsent(stats.workspace(), w -> new TreeMap<>())
                        .merge(stats.engine(), stats, BurnReport::sum);
            }
        }
        return merged;
    }

    private static WorkspaceEngineStats sum(WorkspaceEngineStats a, WorkspaceEngineStats b) {
        return new WorkspaceEngineStats(
                a.workspace(),
                a.engine(),
                a.shortWindow().plus(b.shortWindow()),
                a.longWindow().plus(b.longWindow()));
    }

    private static WorkspaceEngineStats sumOfEngines(
            Map<String, WorkspaceEngineStats> statsByEngine) {
        return statsByEngine.values().stream().reduce(BurnReport::sum).orElseThrow();
    }

    private static List<ObjectiveBurnRate> createRows(
            BurnObjective objective,
            Map<WorkspaceId, ServiceLevelObjectives> objectives,
            Map<WorkspaceId, Map<String, WorkspaceEngineStats>> statsByWorkspace) {
        long totalBadCount = 0;
        for (Map.Entry<WorkspaceId, Map<String, WorkspaceEngineStats>> entry :
                statsByWorkspace.entrySet()) {
            ServiceLevelObjectives workspaceObjectives =
                    objectives.getOrDefault(entry.getKey(), ServiceLevelObjectives.DEFAULT);
            totalBadCount +=
                    objective.badCount(
                            sumOfEngines(entry.getValue()).longWindow(), workspaceObjectives);
        }
        List<ObjectiveBurnRate> rows = new ArrayList<>();
        for (Map.Entry<WorkspaceId, Map<String, WorkspaceEngineStats>> entry :
                statsByWorkspace.entrySet()) {
            ServiceLevelObjectives workspaceObjectives =
                    objectives.getOrDefault(entry.getKey(), ServiceLevelObjectives.DEFAULT);
            rows.add(createRow(objective, workspaceObjectives, entry.getValue(), totalBadCount));
        }
        return rows;
    }

    private static ObjectiveBurnRate createRow(
            BurnObjective objective,
            ServiceLevelObjectives workspaceObjectives,
            Map<String, WorkspaceEngineStats> statsByEngine,
            long totalBadCount) {
        WorkspaceEngineStats total = sumOfEngines(statsByEngine);
        long badCount = objective.badCount(total.longWindow(), workspaceObjectives);
        String worstEngine = ObjectiveBurnRate.NO_WORST_ENGINE;
        long worstEngineBadCount = 0;
        for (WorkspaceEngineStats stats : statsByEngine.values()) {
            long engineBadCount = objective.badCount(stats.longWindow(), workspaceObjectives);
            if (engineBadCount > worstEngineBadCount) {
                worstEngine = stats.engine();
                worstEngineBadCount = engineBadCount;
            }
        }
        double longWindowBurnRate = objective.burnRate(total.longWindow(), workspaceObjectives);
        return new ObjectiveBurnRate(
                total.workspace(),
                objective,
                objective.target(workspaceObjectives),
                objective.burnRate(total.shortWindow(), workspaceObjectives),
                longWindowBurnRate,
                Math.max(0, 1 - longWindowBurnRate),
                objective.totalCount(total.longWindow()),
                badCount,
                worstEngine,
                ratio(worstEngineBadCount, badCount),
                ratio(badCount, totalBadCount));
    }

    private static double ratio(long part, long whole) {
        return whole == 0 ? 0 : (double) part / whole;
    }
}
