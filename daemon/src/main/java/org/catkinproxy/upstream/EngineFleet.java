package org.catkinproxy.upstream;

import org.catkinproxy.id.EngineId;
import org.catkinproxy.route.EngineReport;
import org.catkinproxy.route.RouteEvent;

import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;

/**
 * The engines that this instance knows, each watched by a monitor.
 *
 * <p>{@link #update} is called by one task; the look-ups by any thread.
 */
public final class EngineFleet implements AutoCloseable {
    private final EngineClient mClient;
    private final Consumer<RouteEvent> mEvents;
    private final Consumer<EngineReport> mReports;
    private final Map<EngineId, EngineEndpoint> mEndpoints = new ConcurrentHashMap<>();
    private final Map<EngineId, EngineMonitor> mMonitors = new ConcurrentHashMap<>();

    private EngineFleet(
            EngineClient client, Consumer<RouteEvent> events, Consumer<EngineReport> reports) {
        mClient = client;
        mEvents = events;
        mReports = reports;
    }

    /**
     * Returns a fleet without engines; the consumers are called by any thread.
     *
     * @param events is told of everything seen of engines that may get work
     * @param reports gets the load reports of all engines, leaving ones included
     */
    public static EngineFleet create(
            EngineClient client, Consumer<RouteEvent> events, Consumer<EngineReport> reports) {
        return new EngineFleet(client, events, reports);
    }

    /** Replaces the engines known; monitors of engines that stay go on. */
    public void update(Collection<EngineEndpoint> endpoints) {
        Set<EngineId> wanted = new HashSet<>();
        for (EngineEndpoint endpoint : endpoints) {
            wanted.add(endpoint.engine());
            EngineEndpoint present = mEndpoints.put(endpoint.engine(), endpoint);
            if (!endpoint.equals(present)) {
                replaceMonitor(endpoint);
            }
        }
        for (EngineId engine : Set.copyOf(mEndpoints.keySet())) {
            if (!wanted.contains(engine)) {
                mEndpoints.remove(engine);
                stopMonitor(engine);
            }
        }
    }

    /** Returns where an engine is reached, if it is known. */
    public Optional<EngineEndpoint> endpoint(EngineId engine) {
        return Optional.ofNullable(mEndpoints.get(engine));
    }

    /** Returns the last load report of an engine, if one has come. */
    public Optional<SeenReport> lastReport(EngineId engine) {
        return Optional.ofNullable(mMonitors.get(engine)).flatMap(EngineMonitor::lastReport);
    }

    /** Returns all engines known. */
    public Collection<EngineEndpoint> endpoints() {
        return List.copyOf(mEndpoints.values());
    }

    /** Fetches a snapshot of an engine's cache, if the engine is watched. */
    public void resync(EngineId engine) {
        EngineMonitor monitor = mMonitors.get(engine);
        if (monitor != null) {
            monitor.resync();
        }
    }

    /** Says that an engine refused a connection; it gets no new work until it answers again. */
    public void suspect(EngineId engine) {
        EngineMonitor monitor = mMonitors.get(engine);
        if (monitor != null) {
            monitor.suspect();
        }
    }

    @Override
    public void close() {
        mMonitors.values().forEach(EngineMonitor::dispose);
        mMonitors.clear();
        mEndpoints.clear();
    }

    private void replaceMonitor(EngineEndpoint endpoint) {
        stopMonitor(endpoint.engine());
        // An engine that leaves is still heard, since its next start may get work again.
        Consumer<RouteEvent> events = endpoint.leaving() ? e -> {} : mEvents;
        events.accept(new RouteEvent.EngineAvailable(endpoint.engine()));
        mMonitors.put(endpoint.engine(), EngineMonitor.start(mClient, endpoint, events, mReports));
    }

    private void stopMonitor(EngineId engine) {
        EngineMonitor monitor = mMonitors.remove(engine);
        if (monitor != null) {
            monitor.dispose();
        }
        mEvents.accept(new RouteEvent.EngineUnavailable(engine));
    }
}
