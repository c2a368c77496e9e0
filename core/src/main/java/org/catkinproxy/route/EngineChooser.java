package org.catkinproxy.route;

import com.google.common.hash.Hashing;

import org.catkinproxy.cache.BlockIndex;
import org.catkinproxy.cache.PrefixMatch;
import org.catkinproxy.cache.PromptBlocks;
import org.catkinproxy.id.BlockKey;
import org.catkinproxy.id.EngineId;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Set;

/**
 * Weighs the engines that may answer a request.
 *
 * <p>The cost of an engine is the wait expected there plus the time to compute what its cache lacks
 * at its own speed, weighed by the policy. The engine that rendezvous hashing of the first block
 * names is taken to hold a part of what nobody is known to hold, so that routers which know nothing
 * send equal prompts to the same engine. Not safe for use by several threads.
 */
final class EngineChooser {
    private static final double NANOS_PER_SECOND = 1e9;

    private final EngineTable mEngines;
    private final BlockIndex mIndex;
    private final RoutingPolicy mPolicy;
    private final PrefixMatch mMatch = PrefixMatch.create();

    /** One engine weighed for one request. */
    record Weighed(
            EngineState engine,
            int cachedTokens,
            long uncachedTokens,
            long queueNanos,
            long firstTokenNanos,
            double cost) {}

    EngineChooser(EngineTable engines, BlockIndex index, RoutingPolicy policy) {
        mEngines = engines;
        mIndex = index;
        mPolicy = policy;
    }

    /** Returns the engines that may answer, the cheapest first; ties go by id. */
    List<Weighed> weigh(
            long nowNanos, RouteRequest request, Set<EngineId> excluded, Reservations reserved) {
        mIndex.match(request.blocks().keys(), nowNanos, mMatch);
        EngineState home = home(nowNanos, request, excluded);
        List<Weighed> weighed = new ArrayList<>();
        for (EngineState engine : mEngines.all()) {
            if (mayAnswer(nowNanos, engine, request, excluded)) {
                weighed.add(weigh(nowNanos, engine, request, reserved, engine == home));
            }
        }
        weighed.sort(Comparator.comparingDouble(Weighed::cost));
        return weighed;
    }

    private Weighed weigh(
            long nowNanos,
            EngineState engine,
            RouteRequest request,
            Reservations reserved,
            boolean isHome) {
        int blocks = mMatch.blocks(engine.number());
        int cached = blocks * PromptBlocks.TOKENS_PER_BLOCK;
        long uncached = request.blocks().promptTokens() - cached;
        double speed = engine.report().prefillTokensPerSecond();
        long queue = engine.load().queueNanos(nowNanos) + reserved.nanos(engine);
        double compute = uncached / speed * NANOS_PER_SECOND;
        double lacking = mPolicy.recomputeWeight() * compute;
        if (isHome && mMatch.count() == 0) {
            lacking *= mPolicy.unknownDiscount();
        }
        return new Weighed(
                engine, cached, uncached, queue, queue + (long) compute, queue + lacking);
    }

    private static boolean mayAnswer(
            long nowNanos, EngineState engine, RouteRequest request, Set<EngineId> excluded) {
        return engine.isFit(nowNanos)
                && engine.report().pool().equals(request.pool())
                && engine.report().weights().contains(request.weights())
                && !excluded.contains(engine.id());
    }

    private EngineState home(long nowNanos, RouteRequest request, Set<EngineId> excluded) {
        if (request.blocks().keys().isEmpty()) {
            return null;
        }
        BlockKey first = request.blocks().keys().get(0);
        EngineState best = null;
        double bestScore = -1;
        for (EngineState engine : mEngines.all()) {
            if (!mayAnswer(nowNanos, engine, request, excluded)) {
                continue;
            }
            double score = score(engine, first);
            if (score > bestScore) {
                best = engine;
                bestScore = score;
            }
        }
        return best;
    }

    /** Weighted rendezvous hashing: an engine's chance is in proportion to its speed. */
    private static double score(EngineState engine, BlockKey key) {
        long hash =
                Hashing.murmur3_128()
                        .newHasher()
                        .putString(engine.id().value(), StandardCharsets.UTF_8)
                        .putLong(key.high())
                        .hash()
                        .asLong();
        double uniform = ((hash >>> 11) + 0.5) * 0x1p-53;
        return engine.report().prefillTokensPerSecond() / -StrictMath.log(uniform);
    }
}
