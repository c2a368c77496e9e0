package org.catkinproxy.observe;

import static com.google.common.base.Preconditions.checkNotNull;

import org.catkinproxy.burn.RequestStats;
import org.catkinproxy.burn.RequestStatsCounter;
import org.catkinproxy.burn.RequestStatsSnapshot;
import org.catkinproxy.burn.WorkspaceEngineStats;
import org.catkinproxy.config.Configuration;
import org.catkinproxy.config.ServiceLevelObjectives;
import org.catkinproxy.config.Workspace;
import org.catkinproxy.id.EngineId;
import org.catkinproxy.id.InstanceId;
import org.catkinproxy.id.WorkspaceId;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * Counts how requests fared, by workspace and engine, for the burn report.
 *
 * <p>Memory is bounded: a workspace's engines above a limit are counted as one. Safe for use by any
 * thread.
 */
public final class ServiceLevels {
    /** Stands for all engines of a workspace above the limit. */
    public static final String OTHER = "other";

    private static final int MAX_ENGINES = 64;

    private final InstanceId mInstance;
    private final Duration mShortWindow;
    private final Duration mLongWindow;
    private final LongSupplier mClock;
    private final Map<WorkspaceId, Map<String, Windows>> mCells = new HashMap<>();

    private ServiceLevels(
            InstanceId instance, Duration shortWindow, Duration longWindow, LongSupplier clock) {
        mInstance = checkNotNull(instance, "instance");
        mShortWindow = checkNotNull(shortWindow, "shortWindow");
        mLongWindow = checkNotNull(longWindow, "longWindow");
        mClock = checkNotNull(clock, "clock");
    }

    /** Returns an empty count; {@code clock} is monotonic and in nanoseconds. */
    public static ServiceLevels create(
            InstanceId instance, Duration shortWindow, Duration longWindow, LongSupplier clock) {
        return new ServiceLevels(instance, shortWindow, longWindow, clock);
    }

    /** Counts a request that was answered whole. */
    public void answered(
            WorkspaceId workspace,
            EngineId engine,
            long firstTokenMillis,
            long promptTokens,
            long cachedTokens) {
        count(
                workspace,
                engine.value(),
                c -> c.addAnswered(firstTokenMillis, promptTokens, cachedTokens));
    }

    /** Counts a request that failed for a reason that was not the caller's. */
    public void failed(WorkspaceId workspace, Optional<EngineId> engine) {
        String name = engine.map(EngineId::value).orElse(WorkspaceEngineStats.NO_ENGINE);
        count(workspace, name, RequestStatsCounter::addFailed);
    }

    /** Returns what the windows hold now, with the objectives of the given configuration. */
    public synchronized RequestStatsSnapshot snapshot(Configuration configuration) {
        Map<WorkspaceId, ServiceLevelObjectives> objectives = new TreeMap<>();
        for (Workspace workspace : configuration.workspaces()) {
            objectives.put(workspace.id(), workspace.objectives());
        }
        List<WorkspaceEngineStats> cells = new ArrayList<>();
        mCells.forEach((workspace, engines) -> collect(workspace, engines, cells));
        mCells.values().removeIf(Map::isEmpty);
        return new RequestStatsSnapshot(mInstance, configuration.revision(), objectives, cells);
    }

    private void collect(
            WorkspaceId workspace, Map<String, Windows> engines, List<WorkspaceEngineStats> cells) {
        long now = mClock.getAsLong();
        Iterator<Map.Entry<String, Windows>> all = engines.entrySet().iterator();
        while (all.hasNext()) {
            Map.Entry<String, Windows> engine = all.next();
            RequestStats longFigures = engine.getValue().mLong.figures(now);
            if (longFigures.equals(RequestStats.EMPTY)) {
                all.remove();
                continue;
            }
            RequestStats shortFigures = engine.getValue().mShort.figures(now);
            cells.add(
                    new WorkspaceEngineStats(
                            workspace, engine.getKey(), shortFigures, longFigures));
        }
    }

    private synchronized void count(
            WorkspaceId workspace, String engine, Consumer<RequestStatsCounter> what) {
        Map<String, Windows> engines = mCells.computeIfAbsent(workspace, w -> new HashMap<>());
        boolean full = engines.size() >= MAX_ENGINES && !engines.containsKey(engine);
        Windows windows = engines.computeIfAbsent(full ? OTHER : engine, e -> new Windows());
        long now = mClock.getAsLong();
        windows.mShort.count(now, what);
        windows.mLong.count(now, what);
    }

    /** The two windows of one workspace at one engine; guarded by the outer object. */
    private final class Windows {
        private final RollingFigures mShort = new RollingFigures(mShortWindow);
        private final RollingFigures mLong = new RollingFigures(mLongWindow);
    }
}
