package org.catkinproxy.admin;

import org.catkinproxy.burn.RequestStats;
import org.catkinproxy.burn.RequestStatsSnapshot;
import org.catkinproxy.burn.WorkspaceEngineStats;
import org.catkinproxy.config.ServiceLevelObjectives;
import org.catkinproxy.id.InstanceId;
import org.catkinproxy.id.Revision;
import org.catkinproxy.id.WorkspaceId;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The JSON form of the request statistics and objectives of one daemon.
 *
 * <p>Immutable and thread-safe.
 *
 * @param instance the id of the daemon
 * @param revision the revision of the configuration that the objectives are from
 * @param shortWindowMillis the length of the short window, in milliseconds
 * @param longWindowMillis the length of the long window, in milliseconds
 * @param objectives the service-level objectives by workspace id
 * @param cells the statistics, one entry for each workspace and engine
 */
public record BurnMessage(
        String instance,
        long revision,
        long shortWindowMillis,
        long longWindowMillis,
        Map<String, ServiceLevelObjectives> objectives,
        List<EngineEntry> cells) {
    /** Copies the collections. */
    public BurnMessage {
        objectives = Map.copyOf(objectives);
        cells = List.copyOf(cells);
    }

    /** Returns the message for {@code snapshot}, with the lengths of its windows. */
    public static BurnMessage of(
            RequestStatsSnapshot snapshot, long shortWindowMillis, long longWindowMillis) {
        Map<String, ServiceLevelObjectives> objectives = new TreeMap<>();
        snapshot.objectives().forEach((w, o) -> objectives.put(w.value(), o));
        return new BurnMessage(
                snapshot.instance().value(),
                snapshot.revision().value(),
                shortWindowMillis,
                longWindowMillis,
                objectives,
                snapshot.engineStats().stream().map(EngineEntry::of).toList());
    }

    /**
     * Returns the snapshot that this message contains.
     *
     * @throws IllegalArgumentException if an id, the revision or a histogram is not valid
     */
    public RequestStatsSnapshot toSnapshot() {
        Map<WorkspaceId, ServiceLevelObjectives> byId = new TreeMap<>();
        objectives.forEach((w, o) -> byId.put(WorkspaceId.of(w), o));
        return new RequestStatsSnapshot(
                InstanceId.of(instance),
                Revision.of(revision),
                byId,
                cells.stream().map(EngineEntry::toEngineStats).toList());
    }

    /**
     * The statistics of the requests of one workspace to one engine.
     *
     * @param workspace the id of the workspace
     * @param engine the id of the engine, or {@code none} for requests that reached no engine
     * @param shortWindow the statistics of the short window
     * @param longWindow the statistics of the long window
     */
    public record EngineEntry(
            String workspace, String engine, WindowEntry shortWindow, WindowEntry longWindow) {
        static EngineEntry of(WorkspaceEngineStats stats) {
            return new EngineEntry(
                    stats.workspace().value(),
                    stats.engine(),
                    WindowEntry.of(stats.shortWindow()),
                    WindowEntry.of(stats.longWindow()));
        }

        WorkspaceEngineStats toEngineStats() {
            return new WorkspaceEngineStats(
                    WorkspaceId.of(workspace),
                    engine,
                    shortWindow.toRequestStats(),
                    longWindow.toRequestStats());
        }
    }

    /**
     * The statistics of one window.
     *
     * @param answered the number of requests that were answered completely
     * @param failed the number of requests that failed for a reason outside the caller's control
     * @param promptTokens the number of prompt tokens of the answered requests
     * @param cachedTokens the number of prompt tokens that were served from a cache
     * @param firstTokenMillis the histogram of the times to first token, in milliseconds: a
     *     compressed HdrHistogram in Base64
     */
    public record WindowEntry(
            long answered,
            long failed,
            long promptTokens,
            long cachedTokens,
            String firstTokenMillis) {
        static WindowEntry of(RequestStats stats) {
            return new WindowEntry(
                    stats.answered(),
                    stats.failed(),
                    stats.promptTokens(),
                    stats.cachedTokens(),
                    stats.encodedFirstTokenHistogram());
        }

        RequestStats toRequestStats() {
            return RequestStats.of(answered, failed, promptTokens, cachedTokens, firstTokenMillis);
        }
    }
}
