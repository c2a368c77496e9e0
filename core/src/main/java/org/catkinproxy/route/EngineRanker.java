package org.catkinproxy.route;

import org.catkinproxy.cache.BlockIndex;
import org.catkinproxy.cache.PrefixMatch;
import org.catkinproxy.cache.PromptBlocks;
import org.catkinproxy.id.BlockKey;
import org.catkinproxy.id.EngineId;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Set;

/**
 * Ranks the engines that are eligible for a request by their cost.
 *
 * <p>The cost of an engine is the expected wait plus the time to compute the uncached part of the
 * prompt at the engine's speed, multiplied by a factor of the policy. If no engine is known to have
 * cached the prompt, the engine that rendezvous hashing of the first block selects is assumed to
 * hold a part of it and gets a lower factor, so that routers that know of no cached blocks send
 * equal prompts to the same engine. Ranking takes time linear in the prompt's blocks, the engines
 * of one group and the engines that hold a part of the prompt. Not thread-safe.
 */
final class EngineRanker {
    private static final double NANOS_PER_SECOND = 1e9;

    private final EngineTable mEngines;
    private final BlockIndex mIndex;
    private final RoutingPolicy mPolicy;
    private final PrefixMatch mMatch = PrefixMatch.create();

    /** An engine with the estimates for one request; the times and the cost are in nanoseconds. */
    record RankedEngine(
            EngineState engine,
            int cachedTokens,
            long uncachedTokens,
            long queueNanos,
            long firstTokenNanos,
            double cost) {}

    EngineRanker(EngineTable engines, BlockIndex index, RoutingPolicy policy) {
        mEngines = engines;
        mIndex = index;
        mPolicy = policy;
    }

    /**
     * Returns the eligible engines, the lowest cost first.
     *
     * <p>Among equal costs, the engines of the group come first, in the order of their ids.
     */
    List<RankedEngine> rank(
            long nowNanos,
            RouteRequest request,
            Set<EngineId> excluded,
            EngineReservations reservations) {
        mIndex.match(request.blocks().keys(), nowNanos, mMatch);
        List<EngineState> candidates = candidates(nowNanos, request, excluded);
        double factor = mPolicy.prefillCostFactor(meanBacklogNanos(nowNanos, candidates));
        EngineState rendezvousEngine =
                mMatch.engineCount() == 0 ? rendezvousEngine(request, candidates) : null;
        List<RankedEngine> ranked = new ArrayList<>(candidates.size());
        for (EngineState engine : candidates) {
            double engineFactor =
                    engine == rendezvousEngine ? factor * mPolicy.rendezvousCostFactor() : factor;
            ranked.add(rank(nowNanos, engine, request, reservations, engineFactor));
        }
        ranked.sort(Comparator.comparingDouble(RankedEngine::cost));
        return ranked;
    }

    private RankedEngine rank(
            long nowNanos,
            EngineState engine,
            RouteRequest request,
            EngineReservations reservations,
            double prefillCostFactor) {
        int cached = mMatch.matchedBlocks(engine.number()) * PromptBlocks.TOKENS_PER_BLOCK;
        long uncached = request.blocks().promptTokens() - cached;
        double speed = engine.report().prefillTokensPerSecond();
        long queueNanos =
                engine.load().queueNanos(nowNanos, request.priority())
                        + reservations.reservedNanos(engine);
        double prefillNanos = uncached / speed * NANOS_PER_SECOND;
        return new RankedEngine(
                engine,
                cached,
                uncached,
                queueNanos,
                queueNanos + (long) prefillNanos,
                queueNanos + prefillCostFactor * prefillNanos);
    }

    private List<EngineState> candidates(
            long nowNanos, RouteRequest request, Set<EngineId> excluded) {
        BlockKey routingKey = routingKey(request);
        EngineGroups groups = mEngines.groupsServing(request.pool(), request.weights());
        List<EngineState> group = List.of();
        List<EngineState> candidates = new ArrayList<>();
        for (int i = 0; i < groups.count() && candidates.isEmpty(); i++) {
            group = groups.group(routingKey, i);
            for (EngineState engine : group) {
                if (isEligible(nowNanos, engine, request, excluded)) {
                    candidates.add(engine);
                }
            }
        }
        for (int i = 0; i < mMatch.engineCount(); i++) {
            EngineState holder = mEngines.byNumber(mMatch.engine(i));
            if (!group.contains(holder) && isEligible(nowNanos, holder, request, excluded)) {
                candidates.add(holder);
            }
        }
        return candidates;
    }

    private static boolean isEligible(
            long nowNanos, EngineState engine, RouteRequest request, Set<EngineId> excluded) {
        return engine != null
                && engine.isRoutable(nowNanos)
                && engine.serves(request.pool(), request.weights())
                && !excluded.contains(engine.id());
    }

    private static double meanBacklogNanos(long nowNanos, List<EngineState> engines) {
        double sum = 0;
        for (EngineState engine : engines) {
            sum += engine.load().backlogNanos(nowNanos);
        }
        return engines.isEmpty() ? 0 : sum / engines.size();
    }

    private static EngineState rendezvousEngine(
            RouteRequest request, List<EngineState> candidates) {
        BlockKey routingKey = routingKey(request);
        EngineState best = null;
        double bestScore = -1;
        for (EngineState engine : candidates) {
            double score = rendezvousScore(engine, routingKey);
            if (score > bestScore) {
                best = engine;
                bestScore = score;
            }
        }
        return best;
    }

    /**
     * Returns the key of the prompt's first block.
     *
     * <p>A prompt shorter than a block gets a key from the request's id, which spreads such prompts
     * over the engines.
     */
    private static BlockKey routingKey(RouteRequest request) {
        List<BlockKey> keys = request.blocks().keys();
        if (!keys.isEmpty()) {
            return keys.get(0);
        }
        int hash = request.id().value().hashCode();
        return new BlockKey(hash, hash);
    }

    /** Returns a score for rendezvous hashing, weighted by the engine's prefill speed. */
    private static double rendezvousScore(EngineState engine, BlockKey key) {
        long hash = mix(engine.idHash() ^ mix(key.high()));
        double uniform = ((hash >>> 11) + 0.5) * 0x1p-53;
        return engine.report().prefillTokensPerSecond() / -StrictMath.log(uniform);
    }

    /** Mixes the bits of a value; the last three steps are the finalizer of SplitMix64. */
    private static long mix(long value) {
        long z = value * 0x9e37_79b9_7f4a_7c15L;
        z = (z ^ (z >>> 30)) * 0xbf58_476d_1ce4_e5b9L;
        z = (z ^ (z >>> 27)) * 0x94d0_49bb_1331_11ebL;
        return z ^ (z >>> 31);
    }
}
