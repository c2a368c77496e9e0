package org.catkinproxy.route;

import org.catkinproxy.id.BlockKey;
import org.catkinproxy.id.EngineId;
import org.catkinproxy.id.Incarnation;
import org.catkinproxy.id.InstanceId;
import org.catkinproxy.id.RequestId;
import org.catkinproxy.id.WorkspaceId;

import java.util.List;
import java.util.Map;

/** An event that {@link Dispatcher} handles. Immutable and thread-safe. */
public sealed interface RouteEvent {
    /**
     * A request arrived, or is to be retried because its engine failed.
     *
     * @param excludedEngines the engines that must not get the request; empty for a new request
     */
    record RequestArrived(RouteRequest request, List<EngineId> excludedEngines)
            implements RouteEvent {}

    /** The caller disconnected or cancelled the request. */
    record RequestCancelled(RequestId request) implements RouteEvent {}

    /** The engine accepted the request and reported how many prompt tokens it had cached. */
    record AttemptStarted(RequestId request, EngineId engine, int cachedTokens)
            implements RouteEvent {}

    /** The engine sent the first token. */
    record FirstTokenReceived(RequestId request, EngineId engine) implements RouteEvent {}

    /** The attempt at an engine ended. */
    record AttemptFinished(RequestId request, EngineId engine, AttemptOutcome outcome)
            implements RouteEvent {}

    /** An engine reported its load. */
    record EngineReported(EngineReport report) implements RouteEvent {}

    /** An engine must get no new work, because it leaves, is stopped or is unreachable. */
    record EngineUnavailable(EngineId engine) implements RouteEvent {}

    /** An engine that was unavailable may get new work again. */
    record EngineAvailable(EngineId engine) implements RouteEvent {}

    /**
     * Blocks entered or left an engine's cache.
     *
     * @param sequence the event's number within the incarnation, from 1 without gaps
     */
    record CacheChanged(
            EngineId engine,
            Incarnation incarnation,
            long sequence,
            CacheChange change,
            List<BlockKey> blocks)
            implements RouteEvent {}

    /**
     * The whole content of an engine's cache.
     *
     * @param sequence the number of the last event that the snapshot includes
     */
    record CacheSnapshot(
            EngineId engine, Incarnation incarnation, long sequence, List<BlockKey> blocks)
            implements RouteEvent {}

    /** A peer reported the work that it has in flight at engines. */
    record PeerLoad(InstanceId peer, Map<EngineId, InFlight> inFlight) implements RouteEvent {}

    /** The configured shares of workspaces in fair queueing changed. */
    record SharesChanged(Map<WorkspaceId, Integer> shares) implements RouteEvent {}

    /** Time has passed; sent periodically. */
    record Tick() implements RouteEvent {}

    /** The kind of change to a cache. */
    enum CacheChange {
        STORED,
        EVICTED,
        CLEARED
    }

    /** The outcome of an attempt. */
    enum AttemptOutcome {
        COMPLETE,
        FAILED,
        CANCELLED
    }

    /**
     * Work in flight at one engine.
     *
     * @param requests the number of requests whose attempts have not ended
     * @param uncachedTokens the prompt tokens that the engine still has to compute for them
     */
    record InFlight(int requests, long uncachedTokens) {}
}
