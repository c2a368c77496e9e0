package org.catkinproxy.bench;

import org.catkinproxy.cache.PromptBlocks;
import org.catkinproxy.config.Priority;
import org.catkinproxy.id.BlockKey;
import org.catkinproxy.id.EngineId;
import org.catkinproxy.id.Incarnation;
import org.catkinproxy.id.RequestId;
import org.catkinproxy.id.WorkspaceId;
import org.catkinproxy.route.DispatchSettings;
import org.catkinproxy.route.Dispatcher;
import org.catkinproxy.route.EngineReport;
import org.catkinproxy.route.RouteEvent;
import org.catkinproxy.route.RouteRequest;
import org.catkinproxy.route.RoutingPolicy;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * A dispatcher that knows many engines and full caches, to measure what one event costs.
 *
 * <p>Not thread-safe.
 */
final class DispatcherFixture {
    private static final int PROMPT_BLOCKS = 28;
    private static final int ENGINE_BLOCKS = 280;
    private static final double SPEED = 40_000;
    private static final long NOW = 1_000 * EventLoop.SECOND;

    private final Dispatcher mDispatcher =
            Dispatcher.create(new DispatchSettings(RoutingPolicy.HIT_FIRST, 100));
    private final SplittableRandom mRandom = new SplittableRandom(1);
    private final int mEngines;
    private final long[] mSequences;
    private long mRequests;

    private DispatcherFixture(int engines) {
        mEngines = engines;
        mSequences = new long[engines];
    }

    /** Returns a fixture whose dispatcher knows that many engines, each with a full cache. */
    static DispatcherFixture create(int engines) {
        DispatcherFixture fixture = new DispatcherFixture(engines);
        for (int i = 0; i < engines; i++) {
            fixture.mDispatcher.handle(NOW, new RouteEvent.EngineReported(report(i)));
        }
        for (int i = 0; i < engines; i++) {
            for (int prompt = 0; prompt < ENGINE_BLOCKS / PROMPT_BLOCKS; prompt++) {
                fixture.store(i, keys(fixture.mRandom.nextInt(engines * 4)));
            }
        }
        return fixture;
    }

    /** Lets one request arrive, and withdraws it. */
    Object decide() {
        RequestId id = RequestId.of("r" + mRequests++);
        List<BlockKey> keys = keys(mRandom.nextInt(mEngines * 4));
        RouteRequest request =
                new RouteRequest(
                        id,
                        WorkspaceId.of("w"),
                        Deployment.WEIGHTS,
                        Deployment.POOL,
                        Priority.NORMAL,
                        new PromptBlocks(keys, keys.size() * PromptBlocks.TOKENS_PER_BLOCK + 100),
                        100,
                        NOW + 10 * EventLoop.SECOND);
        Object actions = mDispatcher.handle(NOW, new RouteEvent.RequestArrived(request, List.of()));
        mDispatcher.handle(NOW, new RouteEvent.RequestCancelled(id));
        return actions;
    }

    /** Tells of one block stored. */
    Object storeOne() {
        int engine = mRandom.nextInt(mEngines);
        return store(engine, List.of(new BlockKey(mRandom.nextLong(), mRandom.nextLong())));
    }

    private Object store(int engine, List<BlockKey> keys) {
        mSequences[engine]++;
        return mDispatcher.handle(
                NOW,
                new RouteEvent.CacheChanged(
                        id(engine),
                        Incarnation.of("1"),
                        mSequences[engine],
                        RouteEvent.CacheChange.STORED,
                        keys));
    }

    private static EngineId id(int engine) {
        return EngineId.of("engine-" + engine);
    }

    private static List<BlockKey> keys(int prompt) {
        SplittableRandom random = new SplittableRandom(prompt);
        List<BlockKey> keys = new ArrayList<>();
        for (int i = 0; i < PROMPT_BLOCKS; i++) {
            keys.add(new BlockKey(random.nextLong(), random.nextLong()));
        }
        return keys;
    }

    private static EngineReport report(int engine) {
        return new EngineReport(
                id(engine),
                Incarnation.of("1"),
                Deployment.POOL,
                Set.of(Deployment.WEIGHTS),
                16,
                4,
                0,
                1_000,
                SPEED,
                100,
                ENGINE_BLOCKS,
                0);
    }
}
