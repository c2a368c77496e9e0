package org.catkinproxy.route;

import org.catkinproxy.cache.PromptBlocks;
import org.catkinproxy.config.Priority;
import org.catkinproxy.id.BlockKey;
import org.catkinproxy.id.EngineId;
import org.catkinproxy.id.Incarnation;
import org.catkinproxy.id.PoolId;
import org.catkinproxy.id.RequestId;
import org.catkinproxy.id.Weights;
import org.catkinproxy.id.WorkspaceId;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/** A dispatcher with short ways to tell it things, on a clock that the test moves. */
final class Scene {
    static final Weights WEIGHTS = Weights.of("review", "base", "v1");
    static final PoolId POOL = new PoolId("pool");
    static final long MILLI = 1_000_000L;
    static final long SECOND = 1_000 * MILLI;
    static final int SPEED = 10_000;

    final Dispatcher mDispatcher;
    long mNow = 1_000 * SECOND;
    private int mRequests;

    Scene(RoutingPolicy policy, int maxQueued) {
        mDispatcher = Dispatcher.create(new DispatchSettings(policy, maxQueued));
    }

    static EngineId engine(String id) {
        return EngineId.of(id);
    }

    static EngineReport report(String id, String incarnation, int queuedTokens) {
        return new EngineReport(
                engine(id),
                Incarnation.of(incarnation),
                POOL,
                Set.of(WEIGHTS),
                8,
                0,
                0,
                queuedTokens,
                SPEED,
                100,
                1_000,
                0);
    }

    static List<BlockKey> blocks(int prefix, int count) {
        List<BlockKey> keys = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            keys.add(new BlockKey(prefix * 1_000L + i, prefix));
        }
        return keys;
    }

    RouteRequest request(int prefix, int count, Priority priority, String workspace) {
        int tokens = count * PromptBlocks.TOKENS_PER_BLOCK + 100;
        return new RouteRequest(
                RequestId.of("r" + mRequests++),
                WorkspaceId.of(workspace),
                WEIGHTS,
                POOL,
                priority,
                new PromptBlocks(blocks(prefix, count), tokens),
                100,
                mNow + 20 * SECOND);
    }

    RouteRequest request(int prefix, int count) {
        return request(prefix, count, Priority.NORMAL, "w");
    }

    List<RouteAction> tell(RouteEvent event) {
        return mDispatcher.handle(mNow, event);
    }

    List<RouteAction> arrive(RouteRequest request, EngineId... excluded) {
        return tell(new RouteEvent.Arrived(request, List.of(excluded)));
    }

    List<RouteAction> reported(String id, String incarnation, int queuedTokens) {
        return tell(new RouteEvent.Reported(report(id, incarnation, queuedTokens)));
    }

    List<RouteAction> stored(String id, String incarnation, long sequence, List<BlockKey> keys) {
        return tell(
                new RouteEvent.CacheChanged(
                        engine(id),
                        Incarnation.of(incarnation),
                        sequence,
                        RouteEvent.CacheChange.STORED,
                        keys));
    }

    /** Returns the engine that answered. */
    EngineId arriveAndFinish(RouteRequest request) {
        EngineId engine = target(arrive(request));
        tell(new RouteEvent.Finished(request.id(), engine, RouteEvent.AttemptEnd.COMPLETE));
        return engine;
    }

    /** Returns the engine that the only action sends a request to. */
    static EngineId target(List<RouteAction> actions) {
        return ((RouteAction.Dispatch) actions.get(0)).engine();
    }
}
