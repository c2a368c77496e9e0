package org.catkinproxy.serving;

import com.google.common.net.HostAndPort;

import org.catkinproxy.id.InstanceId;
import org.catkinproxy.id.ModelId;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import java.util.stream.Stream;

/**
 * Chooses the upstream that is expected to answer a request first.
 *
 * <p>For a service without engines, the cost of an upstream is its latency, weighted by its load
 * and its error rate. For an engine, the cost is the time to the first token: the prompts that wait
 * there and the part of the prompt that has to be computed or copied. While no engine is known to
 * have the shared parts of a prompt cached, rendezvous hashing selects an engine, the rendezvous
 * engine, that is preferred, so that instances that do not know each other's requests send equal
 * prompts to the same engine.
 *
 * <p>A single hot prompt spreads to other engines, because its cost at the rendezvous engine grows
 * with the load until another engine is cheaper. In a large fleet each instance considers only a
 * random sample of the upstreams; otherwise all instances, which see the same stale loads of their
 * peers, would choose the same upstream. The error rate and the latency account for upstreams that
 * fail while they are listed and for upstreams of different speed. Not thread-safe.
 */
public final class UpstreamChooser {
    /** Time in which a baseline engine computes one prompt token. */
    private static final double PREFILL_NANOS_PER_TOKEN = 25_000;

    /** Time to the first token at a baseline engine that has the whole prompt cached. */
    private static final double CACHED_FIRST_TOKEN_NANOS = 20_000_000;

    /** Time that each running request adds to the time to the first token. */
    private static final double NANOS_PER_RUNNING_REQUEST = 1_000_000;

    /** Engines with outdated weights are chosen only if all others are slower by this time. */
    private static final double OUTDATED_WEIGHTS_PENALTY_NANOS = 400_000_000;

    /**
     * Fewer tokens are computed instead of copied, because a KV cache block has about this size.
     */
    private static final long MIN_FETCH_TOKENS = 32;

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

    /**
     * With more peers, upstreams are sampled; otherwise all instances would choose the same one.
     */
    private static final int MAX_PEERS_WITHOUT_SAMPLING = 10;

    /** Number of engines that are sampled for a prompt. */
    private static final int SAMPLED_ENGINES = 4;

    /** Number of upstreams that are sampled for a request to a service without engines. */
    private static final int SAMPLED_UPSTREAMS = 2;

    /** Weight of the newest prompt in the typical length of prompts. */
    private static final double PROMPT_SMOOTHING_FACTOR = 0.02;

    private final RandomGenerator mRandom;
    private final PeerLoads mPeerLoads;
    private final SendPermission mPermission;

    /** Smoothed length of recent prompts, in tokens; 0 before the first. */
    private double mTypicalPromptTokens;

    /**
     * The chosen upstream and what an engine should do with the KV cache of the prompt.
     *
     * <p>All numbers are 0 for a service without engines.
     *
     * @param target the state of the chosen upstream
     * @param fetchFrom the address from which the engine should copy missing parts of the prompt,
     *     empty if there is nothing to copy
     * @param backup an engine with the same weights that can hold a backup of the request's KV
     *     cache, empty if there is none
     * @param saveTo the address of the store to which the engine should send the prompt, empty if
     *     the prompt should not be saved
     * @param uncachedTokens the prompt tokens that the engine has to compute
     * @param baselineFirstTokenNanos the time to the first token that a baseline engine would need,
     *     in ns
     * @param firstTokenNanos the expected time to the first token at this engine, which includes
     *     its relative latency and its running requests, in ns
     * @param queueWaitNanos the part of {@code firstTokenNanos} that the request waits behind
     *     others, in ns
     */
    public record Choice(
            UpstreamState target,
            Optional<HostAndPort> fetchFrom,
            Optional<Upstream> backup,
            Optional<HostAndPort> saveTo,
            long uncachedTokens,
            double baselineFirstTokenNanos,
            double firstTokenNanos,
            double queueWaitNanos) {
        /** Returns a choice of {@code target} without anything to compute, copy or save. */
        public static Choice of(UpstreamState target) {
            return new Choice(
                    target, Optional.empty(), Optional.empty(), Optional.empty(), 0, 0, 0, 0);
        }
    }

    /**
     * A prompt for which an engine has to be chosen.
     *
     * @param prompt the prompt
     * @param cacheScope the scope in which cached parts may be shared, before the weights version
     *     is added
     * @param versions the desired versions of the weights
     * @param fetchNanosPerToken the time to copy the KV cache of one token between engines, in ns
     * @param promptStore the store from which and to which the prompt may be copied, empty if there
     *     is none
     * @param deadline when the whole response has to be complete, in ns of the monotonic clock
     */
    public record PlacementRequest(
            Prompt prompt,
            String cacheScope,
            DesiredVersions versions,
            double fetchNanosPerToken,
            Optional<PromptStoreView> promptStore,
            long deadline) {
        /** Returns the newest desired version of the weights for the prompt's model, or 0. */
        public int newestVersion() {
            return versions.newest(prompt.model());
        }

        /**
         * Returns the scope of the parts that an engine with weights {@code version} has cached.
         */
        public String cacheScope(int version) {
            return cacheScope + "." + version;
        }
    }

    private UpstreamChooser(
            RandomGenerator random, PeerLoads peerLoads, SendPermission permission) {
        mRandom = random;
        mPeerLoads = peerLoads;
        mPermission = permission;
    }

    /**
     * Returns a chooser.
     *
     * @param random the source of the random samples and of the random part of costs
     * @param peerLoads the loads that the other instances reported, updated by the owner
     * @param permission which upstreams may get a request at all
     */
    public static UpstreamChooser of(
            RandomGenerator random, PeerLoads peerLoads, SendPermission permission) {
        return new UpstreamChooser(random, peerLoads, permission);
    }

    /**
     * Returns the upstream for a request to a service without engines, empty if none is eligible.
     *
     * @param states the states of the service's upstreams
     * @param excluded the upstreams that must not get the request
     * @param now the time, in ns
     */
    public Optional<Choice> chooseUpstream(
            Collection<UpstreamState> states, Set<InstanceId> excluded, long now) {
        UpstreamState best = null;
        double lowestCost = Double.MAX_VALUE;
        for (UpstreamState state : sample(eligible(states, excluded, now), SAMPLED_UPSTREAMS)) {
            double cost = state.relativeLatency() * (1 + openRequests(state)) * jitter();
            cost *= 1 + ERROR_RATE_WEIGHT * state.errorRate(now);
            if (cost < lowestCost) {
                lowestCost = cost;
                best = state;
            }
        }
        return Optional.ofNullable(best).map(Choice::of);
    }

    /**
     * Returns the engine for a prompt, empty if none is eligible.
     *
     * @param states the states of the service's engines
     * @param excluded the engines that must not get the request
     * @param request the prompt
     * @param now the time, in ns
     */
    public Optional<Choice> chooseEngine(
            Collection<UpstreamState> states,
            Set<InstanceId> excluded,
            PlacementRequest request,
            long now) {
        List<Candidate> candidates =
                candidates(eligibleEngines(states, excluded, request.prompt(), now), request, now);
        Candidate rendezvousEngine = rendezvousEngine(candidates, request.prompt());
        double usualNanosPerOutputToken = usualNanosPerOutputToken(candidates);
        Choice best = null;
        double lowestCost = Double.MAX_VALUE;
        for (Candidate candidate : sampledCandidates(candidates, rendezvousEngine)) {
            Choice choice = evaluate(candidate, candidates, request, now);
            double cost = cost(choice, candidate, request, now);
            cost += generationCost(choice, usualNanosPerOutputToken, request, now);
            if (candidate == rendezvousEngine) {
                cost -=
                        RENDEZVOUS_CREDIT_SHARE
                                * request.prompt().sharedTokens()
                                * PREFILL_NANOS_PER_TOKEN;
            }
            if (cost < lowestCost) {
                lowestCost = cost;
                best = choice;
            }
        }
        return Optional.ofNullable(best).map(c -> withBackupAndStore(c, candidates, request, now));
    }

    /**
     * Returns the engines that may get a prompt. Limits count requests whatever their length, so
     * short prompts leave engines with a limit to long ones, which relieve the other engines more.
     */
    private List<UpstreamState> eligibleEngines(
            Collection<UpstreamState> states, Set<InstanceId> excluded, Prompt prompt, long now) {
        List<UpstreamState> eligible = eligible(states, excluded, now);
        recordLength(prompt);
        if (prompt.tokens() >= mTypicalPromptTokens) {
            return eligible;
        }
        List<UpstreamState> spare =
                eligible.stream().filter(s -> mPermission.maySendSpare(s.upstream(), now)).toList();
        return spare.isEmpty() ? eligible : spare;
    }

    private void recordLength(Prompt prompt) {
        if (mTypicalPromptTokens == 0) {
            mTypicalPromptTokens = prompt.tokens();
        }
        mTypicalPromptTokens += PROMPT_SMOOTHING_FACTOR * (prompt.tokens() - mTypicalPromptTokens);
    }

    /**
     * Returns all candidates in a small fleet. In a large fleet returns a random sample, the engine
     * that has most of the prompt cached, and the rendezvous engine.
     */
    private Collection<Candidate> sampledCandidates(
            List<Candidate> candidates, Candidate rendezvousEngine) {
        if (mPeerLoads.peerCount() <= MAX_PEERS_WITHOUT_SAMPLING) {
            return candidates;
        }
        Set<Candidate> sampled = new LinkedHashSet<>(sample(candidates, SAMPLED_ENGINES));
        candidates.stream()
                .filter(c -> c.mCachedTokens > 0)
                .max(Comparator.comparingLong(c -> c.mCachedTokens))
                .ifPresent(sampled::add);
        if (rendezvousEngine != null) {
            sampled.add(rendezvousEngine);
        }
        return sampled;
    }

    /** Returns {@code count} random elements in a large fleet, and all elements in a small one. */
    private <T> List<T> sample(List<T> all, int count) {
        if (mPeerLoads.peerCount() <= MAX_PEERS_WITHOUT_SAMPLING || all.size() <= count) {
            return all;
        }
        List<T> shuffled = new ArrayList<>(all);
        for (int i = 0; i < count; i++) {
            Collections.swap(shuffled, i, i + mRandom.nextInt(shuffled.size() - i));
        }
        return shuffled.subList(0, count);
    }

    private int openRequests(UpstreamState state) {
        return state.inFlight() + mPeerLoads.total(state.upstream().id()).requests();
    }

    private long pendingTokens(UpstreamState state) {
        return state.pendingTokens() + mPeerLoads.total(state.upstream().id()).pendingTokens();
    }

    /** Adds the least busy other engine with the same weights, and the store for the prompt. */
    private Choice withBackupAndStore(
            Choice choice, List<Candidate> candidates, PlacementRequest request, long now) {
        Candidate chosen =
                candidates.stream()
                        .filter(c -> c.mState == choice.target())
                        .findFirst()
                        .orElseThrow();
        Optional<Upstream> backup =
                candidates.stream()
                        .filter(c -> c != chosen && c.mVersion == chosen.mVersion)
                        .min(Comparator.comparingInt(c -> openRequests(c.mState)))
                        .map(c -> c.mState.upstream());
        Optional<HostAndPort> saveTo =
                request.promptStore()
                        .filter(s -> isWorthSaving(s, chosen, request, now))
                        .map(PromptStoreView::address);
        return new Choice(
                choice.target(),
                choice.fetchFrom(),
                backup,
                saveTo,
                choice.uncachedTokens(),
                choice.baselineFirstTokenNanos(),
                choice.firstTokenNanos(),
                choice.queueWaitNanos());
    }

    /** Returns whether the store lacks enough tokens of the shared parts. */
    private static boolean isWorthSaving(
            PromptStoreView store, Candidate chosen, PlacementRequest request, long now) {
        long missing = request.prompt().sharedTokens() - chosen.storedTokens(store, request, now);
        return chosen.mVersion > 0 && missing >= MIN_FETCH_TOKENS;
    }

    /**
     * Returns the engines whose weights are usable, or those whose weights may be usable if there
     * are none.
     */
    private static List<Candidate> candidates(
            List<UpstreamState> states, PlacementRequest request, long now) {
        DesiredVersions versions = request.versions();
        ModelId model = request.prompt().model();
        List<Candidate> all = states.stream().map(s -> new Candidate(s, request, now)).toList();
        List<Candidate> usable =
                all.stream().filter(c -> versions.isUsable(model, c.mVersion, now)).toList();
        return usable.isEmpty()
                ? all.stream().filter(c -> versions.mayBeUsable(model, c.mVersion, now)).toList()
                : usable;
    }

    private Choice evaluate(
            Candidate candidate, List<Candidate> all, PlacementRequest request, long now) {
        UpstreamState state = candidate.mState;
        long cached = candidate.mCachedTokens;
        Optional<FetchSource> source = bestSource(candidate, cached, all, request, now);
        long fetchedTokens = source.map(FetchSource::tokens).orElse(cached) - cached;
        long uncached = Math.max(0, request.prompt().tokens() - cached - fetchedTokens);
        double queueNanos = pendingTokens(state) * PREFILL_NANOS_PER_TOKEN;
        double baselineNanos =
                CACHED_FIRST_TOKEN_NANOS
                        + uncached * PREFILL_NANOS_PER_TOKEN
                        + fetchedTokens
                                * request.fetchNanosPerToken()
                                * CROSS_DATA_CENTRE_FETCH_FACTOR
                        + queueNanos;
        double runningNanos = openRequests(state) * NANOS_PER_RUNNING_REQUEST;
        return new Choice(
                state,
                source.map(FetchSource::address),
                Optional.empty(),
                Optional.empty(),
                uncached,
                baselineNanos,
                state.relativeLatency() * (baselineNanos + runningNanos),
                state.relativeLatency() * (queueNanos + runningNanos));
    }

    private static double cost(
            Choice choice, Candidate candidate, PlacementRequest request, long now) {
        UpstreamState state = candidate.mState;
        double cost = choice.firstTokenNanos() * (1 + ERROR_RATE_WEIGHT * state.errorRate(now));
        return cost
                + (candidate.mVersion < request.newestVersion()
                        ? OUTDATED_WEIGHTS_PENALTY_NANOS
                        : 0);
    }

    /**
     * Returns the cost of the time in which the output is generated. Engines of one service differ
     * in speed, and a long output at a slow or busy engine is not complete before the deadline
     * although its first token arrives soon.
     */
    private double generationCost(
            Choice choice, double usualNanosPerOutputToken, PlacementRequest request, long now) {
        double known = nanosPerOutputToken(choice.target());
        double nanosPerToken = known > 0 ? known : usualNanosPerOutputToken;
        double generationNanos = request.prompt().maxOutputTokens() * nanosPerToken;
        double spareNanos =
                USABLE_TIME_SHARE * (request.deadline() - now)
                        - choice.firstTokenNanos()
                        - generationNanos;
        return GENERATION_WEIGHT * generationNanos + Math.max(0, -spareNanos);
    }

    /** Returns the mean of the candidates' times for an output token that are known, or 0. */
    private double usualNanosPerOutputToken(List<Candidate> candidates) {
        return candidates.stream()
                .mapToDouble(c -> nanosPerOutputToken(c.mState))
                .filter(nanos -> nanos > 0)
                .average()
                .orElse(0);
    }

    /** Returns the time for an output token that was seen by this instance and its peers, or 0. */
    private double nanosPerOutputToken(UpstreamState state) {
        double own = state.nanosPerOutputToken();
        double ofPeers = mPeerLoads.total(state.upstream().id()).nanosPerOutputToken();
        return own > 0 && ofPeers > 0 ? (own + ofPeers) / 2 : Math.max(own, ofPeers);
    }

    /** An address from which a prompt can be copied, and how many leading tokens it has there. */
    private record FetchSource(HostAndPort address, long tokens) {}

    /**
     * Returns the source with the most leading tokens of the prompt, computed with the same
     * weights, empty if no source has enough more than {@code candidate}.
     */
    private static Optional<FetchSource> bestSource(
            Candidate candidate,
            long cached,
            List<Candidate> all,
            PlacementRequest request,
            long now) {
        if (candidate.mVersion == 0) {
            return Optional.empty();
        }
        Stream<FetchSource> engines =
                all.stream()
                        .filter(c -> c != candidate && c.mVersion == candidate.mVersion)
                        .map(c -> new FetchSource(c.mState.upstream().address(), c.mCachedTokens));
        Stream<FetchSource> stores =
                request.promptStore().stream()
                        .map(
                                s ->
                                        new FetchSource(
                                                s.address(),
                                                candidate.storedTokens(s, request, now)));
        // With equal token counts, engines are preferred: they have many links, the store has one.
        return Stream.concat(engines, stores)
                .filter(s -> s.tokens() - cached >= MIN_FETCH_TOKENS)
                .max(
                        Comparator.comparingLong(FetchSource::tokens)
                                .thenComparing(s -> isEngine(s, all)));
    }

    private static boolean isEngine(FetchSource source, List<Candidate> all) {
        return all.stream().anyMatch(c -> c.mState.upstream().address().equals(source.address()));
    }

    /** An engine and the number of leading tokens of the prompt that it has cached. */
    private static final class Candidate {
        private final UpstreamState mState;
        private final int mVersion;
        private final long mCachedTokens;

        Candidate(UpstreamState state, PlacementRequest request, long now) {
            mState = state;
            mVersion = state.knownVersion(request.prompt());
            long[] keys = request.prompt().partKeys(request.cacheScope(mVersion));
            mCachedTokens = state.promptCache().cachedTokens(request.prompt(), keys, now);
        }

        InstanceId id() {
            return mState.upstream().id();
        }

        long storedTokens(PromptStoreView store, PlacementRequest request, long now) {
            long[] keys = request.prompt().partKeys(request.cacheScope(mVersion));
            return store.contents().cachedTokens(request.prompt(), keys, now);
        }
    }

    /**
     * Returns the available upstreams that may get a request, or if there are none, all that may
     * and that accept requests.
     */
    private List<UpstreamState> eligible(
            Collection<UpstreamState> states, Set<InstanceId> excluded, long now) {
        List<UpstreamState> others =
                states.stream()
                        .filter(s -> !excluded.contains(s.upstream().id()))
                        .filter(s -> s.acceptsRequests(now))
                        .filter(s -> mPermission.maySend(s.upstream(), now))
                        .toList();
        List<UpstreamState> available = others.stream().filter(s -> s.isAvailable(now)).toList();
        return available.isEmpty() ? others : available;
    }

    /**
     * Returns the rendezvous engine of a prompt whose shared parts no engine is known to have, null
     * if an engine has some of them or the prompt has no shared parts.
     */
    private static Candidate rendezvousEngine(List<Candidate> candidates, Prompt prompt) {
        boolean isUncached = candidates.stream().allMatch(c -> c.mCachedTokens == 0);
        if (!isUncached || prompt.parts().size() < 2) {
            return null;
        }
        long key = prompt.parts().get(0).id();
        return candidates.stream()
                .max(Comparator.comparingLong(c -> rendezvousScore(key, c.mState)))
                .orElse(null);
    }

    private static long rendezvousScore(long key, UpstreamState state) {
        long z = key ^ (state.upstream().id().hashCode() * 0x9e37_79b9_7f4a_7c15L);
        z = (z ^ (z >>> 30)) * 0xbf58_476d_1ce4_e5b9L;
        z = (z ^ (z >>> 27)) * 0x94d0_49bb_1331_11ebL;
        return z ^ (z >>> 31);
    }

    private double jitter() {
        return 1 + MAX_JITTER * mRandom.nextDouble();
    }
}
