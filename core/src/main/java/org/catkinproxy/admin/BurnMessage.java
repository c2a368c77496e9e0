package org.catkinproxy.admin;

import org.catkinproxy.burn.BurnCell;
import org.catkinproxy.burn.BurnFigures;
import org.catkinproxy.burn.BurnSnapshot;
import org.catkinproxy.config.Objectives;
import org.catkinproxy.id.InstanceId;
import org.catkinproxy.id.Revision;
import org.catkinproxy.id.WorkspaceId;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * A daemon's service-level figures on the wire.
 *
 * <p>Immutable, and so safe for use by any thread.
 *
 * @param instance the daemon
 * @param revision the configuration that the objectives are from
 * @param shortWindowMillis the short window
 * @param longWindowMillis the long window
 * @param objectives the objectives by workspace
 * @param cells the figures by workspace and engine
 */
public record BurnMessage(
        String instance,
        long revision,
        long shortWindowMillis,
        long longWindowMillis,
        Map<String, Objectives> objectives,
        List<Cell> cells) {
    /** Copies the collections. */
    public BurnMessage {
        objectives = Map.copyOf(objectives);
        cells = List.copyOf(cells);
    }

    /** Returns the message that carries a snapshot. */
    public static BurnMessage of(
            BurnSnapshot snapshot, long shortWindowMillis, long longWindowMillis) {
        Map<String, Objectives> objectives = new TreeMap<>();
        snapshot.objectives().forEach((w, o) -> objectives.put(w.value(), o));
        return new BurnMessage(
                snapshot.instance().value(),
                snapshot.revision().value(),
                shortWindowMillis,
                longWindowMillis,
                objectives,
                snapshot.cells().stream().map(Cell::of).toList());
    }

    /**
     * Returns the snapshot that the message carries.
     *
     * @throws IllegalArgumentException if an id or a histogram is not spelt as it should be
     */
    public BurnSnapshot snapshot() {
        Map<WorkspaceId, Objectives> byId = new TreeMap<>();
        objectives.forEach((w, o) -> byId.put(WorkspaceId.of(w), o));
        return new BurnSnapshot(
                InstanceId.of(instance),
                Revision.of(revision),
                byId,
                cells.stream().map(Cell::cell).toList());
    }

    /**
     * The figures of one workspace at one engine.
     *
     * @param workspace the workspace
     * @param engine the engine, or {@code none}
     * @param shortWindow the figures of the short window
     * @param longWindow the figures of the long window
     */
    public record Cell(String workspace, String engine, Figures shortWindow, Figures longWindow) {
        static Cell of(BurnCell cell) {
            return new Cell(
                    cell.workspace().value(),
                    cell.engine(),
                    Figures.of(cell.shortWindow()),
                    Figures.of(cell.longWindow()));
        }

        BurnCell cell() {
            return new BurnCell(
                    WorkspaceId.of(workspace), engine, shortWindow.figures(), longWindow.figures());
        }
    }

    /**
     * The figures of one window.
     *
     * @param answered requests that were answered whole
     * @param failed requests that failed for a reason that was not the caller's
     * @param promptTokens the prompt tokens of the answered requests
     * @param cachedTokens those that came from a cache
     * @param firstTokenMillis the histogram of times to the first token: compressed HdrHistogram,
     *     as base64
     */
    public record Figures(
            long answered,
            long failed,
            long promptTokens,
            long cachedTokens,
            String firstTokenMillis) {
        static Figures of(BurnFigures figures) {
            return new Figures(
                    figures.answered(),
                    figures.failed(),
                    figures.promptTokens(),
                    figures.cachedTokens(),
                    figures.encodedFirstTokens());
        }

        BurnFigures figures() {
            return BurnFigures.of(answered, failed, promptTokens, cachedTokens, firstTokenMillis);
        }
    }
}
