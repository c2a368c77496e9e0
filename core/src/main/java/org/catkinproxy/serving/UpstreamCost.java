package org.catkinproxy.serving;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Estimates what a request costs at an upstream.
 *
 * <p>For a service without engines, the cost of an upstream is its latency, weighted by its load
 * and its error rate. For an engine, the cost is the time to the first token, to which the time to
 * generate the output adds little unless the output would not be complete before the deadline. The
 * error rate and the latency account for upstreams that fail while they are listed and for
 * upstreams of different speed. Not thread-safe.
 */
final class UpstreamCost {
    /** Time in which a baseline engine computes one prompt token. */
    private static final double PREFILL_NANOS_PER_TOKEN = 25_000;

    /** Time to the first token at a baseline engine that has the whole prompt cached. */
    private static final double CACHED_FIRST_TOKEN_NANOS = 20_000_000;

    /** Time that each running request adds to the time to the first token. */
    private static final double NANOS_PER_RUNNING_REQUEST = 1_000_000;

    /** Engines with outdated weights are chosen only if all others are slower by this time. */
    private static final double OUTDATED_WEIGHTS_PENALTY_NANOS = 400_000_000;

    /** Factor for copies between data centres, which take longer than copies within one. */
    private static final double CROSS_DATA_CENTRE_FETCH_FACTOR = 1.7;

    /**
     * Share of the compute time of the shared parts that is deducted from the rendezvous engine's
     * cost.
     */
    private static final double RENDEZVOUS_CREDIT_SHARE = 0.5;

    /** An error rate of 1 multiplies the cost by one plus this weight. */
    private static final double ERROR_RATE_WEIGHT = 6;

    /** Weight of the time to generate the output, beside that to the first token. */
    private static final double GENERATION_WEIGHT = 0.03;

    /** Share of the time until the deadline that a generation may be expected to take. */
    private static final double USABLE_TIME_SHARE = 0.8;

    /** Maximum random increase of a cost, as a share of the cost, which spreads near ties. */
    private static final double MAX_JITTER = 0.2;

    private final RandomGenerator mRandom;
    private final FleetLoad mLoad;

    UpstreamCost(RandomGenerator random, FleetLoad load) {
        mRandom = random;
        mLoad = load;
    }

    /** Returns the cost of an upstream of a service without engines, with a random part. */
    double ofUpstream(UpstreamState state, long now) {
        double cost = state.relativeLatency() * (1 + mLoad.openRequests(state)) * jitter();
        return cost * errorFactor(state, now);
    }

    private double jitter() {
        return 1 + MAX_JITTER * mRandom.nextDouble();
    }

    private static double errorFactor(UpstreamState state, long now) {
        return 1 + ERROR_RATE_WEIGHT * state.errorRate(now);
    }

    /**
     * Returns the choice of an engine with the times to the first token that are expected there,
     * without a backup and without a store.
     *
     * @param source the place from which the engine copies missing parts of the prompt
     */
    UpstreamChooser.Choice estimate(
            EngineCandidate candidate,
            Optional<CacheTransfers.FetchSource> source,
            UpstreamChooser.PlacementRequest request) {
        UpstreamState state = candidate.state();
        long cached = candidate.cachedTokens();
        long fetchedTokens = source.map(CacheTransfers.FetchSource::tokens).orElse(cached) - cached;
        long uncached = Math.max(0, request.prompt().tokens() - cached - fetchedTokens);
        double queueNanos = mLoad.pendingTokens(state) * PREFILL_NANOS_PER_TOKEN;
        double baselineNanos =
                CACHED_FIRST_TOKEN_NANOS
                        + uncached * PREFILL_NANOS_PER_TOKEN
                        + fetchedTokens
                                * request.fetchNanosPerToken()
                                * CROSS_DATA_CENTRE_FETCH_FACTOR
                        + queueNanos;
        double runningNanos = mLoad.openRequests(state) * NANOS_PER_RUNNING_REQUEST;
        return new UpstreamChooser.Choice(
                state,
                source.map(CacheTransfers.FetchSource::address),
                Optional.empty(),
                Optional.empty(),
                uncached,
                baselineNanos,
                state.relativeLatency() * (baselineNanos + runningNanos),
                state.relativeLatency() * (queueNanos + runningNanos));
    }

    /**
     * Returns the cost of an engine.
     *
     * @param choice the {@link #estimate} for the engine
     * @param usualNanosPerOutputToken the time for an output token at an engine of unknown speed
     */
    double ofEngine(
            UpstreamChooser.Choice choice,
            EngineCandidate candidate,
            double usualNanosPerOutputToken,
            UpstreamChooser.PlacementRequest request,
            long now) {
        double cost = choice.firstTokenNanos() * errorFactor(choice.target(), now);
        if (candidate.version() < request.newestVersion()) {
            cost += OUTDATED_WEIGHTS_PENALTY_NANOS;
        }
        return cost + generationCost(choice, usualNanosPerOutputToken, request, now);
    }

    /**
     * Returns the cost of the time in which the output is generated. Engines of one service differ
     * in speed, and a long output at a slow or busy engine is not complete before the deadline
     * although its first token arrives soon.
     */
    private double generationCost(
            UpstreamChooser.Choice choice,
            double usualNanosPerOutputToken,
            UpstreamChooser.PlacementRequest request,
            long now) {
        double known = mLoad.nanosPerOutputToken(choice.target());
        double nanosPerToken = known > 0 ? known : usualNanosPerOutputToken;
        double generationNanos = request.prompt().maxOutputTokens() * nanosPerToken;
        double spareNanos =
                USABLE_TIME_SHARE * (request.deadline() - now)
                        - choice.firstTokenNanos()
                        - generationNanos;
        return GENERATION_WEIGHT * generationNanos + Math.max(0, -spareNanos);
    }

    /** Returns the mean of the candidates' times for an output token that are known, or 0. */
    double usualNanosPerOutputToken(List<EngineCandidate> candidates) {
        return candidates.stream()
                .mapToDouble(c -> mLoad.nanosPerOutputToken(c.state()))
                .filter(nanos -> nanos > 0)
                .average()
                .orElse(0);
    }

    /** Returns what is deducted from the cost of the rendezvous engine of {@code prompt}. */
    static double rendezvousCredit(Prompt prompt) {
        return RENDEZVOUS_CREDIT_SHARE * prompt.sharedTokens() * PREFILL_NANOS_PER_TOKEN;
    }
}
