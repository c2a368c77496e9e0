package org.catkinproxy.burn;

import org.catkinproxy.config.Objectives;
import org.catkinproxy.id.WorkspaceId;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The burn rates of all workspaces over the figures of any number of daemons.
 *
 * <p>Immutable, and so safe for use by any thread.
 */
public final class BurnReport {
    private final List<WorkspaceBurn> mRows;
    private final Map<WorkspaceId, BurnFigures> mLongFigures;

    private BurnReport(List<WorkspaceBurn> rows, Map<WorkspaceId, BurnFigures> longFigures) {
        mRows = List.copyOf(rows);
        mLongFigures = Map.copyOf(longFigures);
    }

    /** Computes the report over everything that the snapshots count. */
    public static BurnReport of(Collection<BurnSnapshot> snapshots) {
        Map<WorkspaceId, Objectives> objectives = newestObjectives(snapshots);
        Map<WorkspaceId, Map<String, BurnCell>> cells = merge(snapshots);
        List<WorkspaceBurn> rows = new ArrayList<>();
        for (BurnObjective objective : BurnObjective.values()) {
            rows.addAll(rowsOf(objective, objectives, cells));
        }
        rows.sort(Comparator.comparing(WorkspaceBurn::workspace));
        Map<WorkspaceId, BurnFigures> longFigures = new TreeMap<>();
        cells.forEach((w, c) -> longFigures.put(w, total(c).longWindow()));
        return new BurnReport(rows, longFigures);
    }

    /** Returns a row for each workspace and objective, in the order of the workspaces. */
    public List<WorkspaceBurn> rows() {
        return mRows;
    }

    /** Returns the long window's figures of a workspace. */
    public BurnFigures longFigures(WorkspaceId workspace) {
        return mLongFigures.getOrDefault(workspace, BurnFigures.EMPTY);
    }

    private static Map<WorkspaceId, Objectives> newestObjectives(
            Collection<BurnSnapshot> snapshots) {
        Map<WorkspaceId, Objectives> newest = new TreeMap<>();
        snapshots.stream()
                .sorted(Comparator.comparing(BurnSnapshot::revision))
                .forEach(s -> newest.putAll(s.objectives()));
        return newest;
    }

    private static Map<WorkspaceId, Map<String, BurnCell>> merge(
            Collection<BurnSnapshot> snapshots) {
        Map<WorkspaceId, Map<String, BurnCell>> merged = new TreeMap<>();
        for (BurnSnapshot snapshot : snapshots) {
            for (BurnCell cell : snapshot.cells()) {
                merged.computeIfAbsent(cell.workspace(), w -> new TreeMap<>())
                        .merge(cell.engine(), cell, BurnReport::sum);
            }
        }
        return merged;
    }

    private static BurnCell sum(BurnCell a, BurnCell b) {
        return new BurnCell(
                a.workspace(),
                a.engine(),
                a.shortWindow().plus(b.shortWindow()),
                a.longWindow().plus(b.longWindow()));
    }

    private static BurnCell total(Map<String, BurnCell> engines) {
        return engines.values().stream().reduce(BurnReport::sum).orElseThrow();
    }

    private static List<WorkspaceBurn> rowsOf(
            BurnObjective objective,
            Map<WorkspaceId, Objectives> objectives,
            Map<WorkspaceId, Map<String, BurnCell>> cells) {
        long allBad = 0;
        for (Map.Entry<WorkspaceId, Map<String, BurnCell>> entry : cells.entrySet()) {
            Objectives wanted = objectives.getOrDefault(entry.getKey(), Objectives.DEFAULT);
            allBad += objective.bad(total(entry.getValue()).longWindow(), wanted);
        }
        List<WorkspaceBurn> rows = new ArrayList<>();
        for (Map.Entry<WorkspaceId, Map<String, BurnCell>> entry : cells.entrySet()) {
            Objectives wanted = objectives.getOrDefault(entry.getKey(), Objectives.DEFAULT);
            rows.add(row(objective, wanted, entry.getValue(), allBad));
        }
        return rows;
    }

    private static WorkspaceBurn row(
            BurnObjective objective,
            Objectives wanted,
            Map<String, BurnCell> engines,
            long allBad) {
        BurnCell total = total(engines);
        long bad = objective.bad(total.longWindow(), wanted);
        String worst = WorkspaceBurn.NOTHING_BAD;
        long worstBad = 0;
        for (BurnCell cell : engines.values()) {
            long engineBad = objective.bad(cell.longWindow(), wanted);
            if (engineBad > worstBad) {
                worst = cell.engine();
                worstBad = engineBad;
            }
        }
        double longBurn = objective.burn(total.longWindow(), wanted);
        return new WorkspaceBurn(
                total.workspace(),
                objective,
                objective.target(wanted),
                objective.burn(total.shortWindow(), wanted),
                longBurn,
                Math.max(0, 1 - longBurn),
                objective.total(total.longWindow()),
                bad,
                worst,
                share(worstBad, bad),
                share(bad, allBad));
    }

    private static double share(long part, long whole) {
        return whole == 0 ? 0 : (double) part / whole;
    }
}
