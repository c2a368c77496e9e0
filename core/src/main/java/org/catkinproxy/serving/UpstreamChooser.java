package org.catkinproxy.serving;

import com.google.common.net.HostAndPort;

import org.catkinproxy.id.InstanceId;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * Chooses the upstream that is expected to answer a request first.
 *
 * <p>Of the upstreams that may get the request ({@link UpstreamEligibility}) the one with the
 * lowest cost is chosen. For an engine, the cost is mainly the time to the first token: the prompts
 * that wait there and the part of the prompt to be computed or copied. While no engine is known to
 * have the shared parts of a prompt cached, rendezvous hashing selects an engine, the rendezvous
 * engine, that is preferred, so that instances that do not know each other's requests send equal
 * prompts to the same engine.
 *
 * <p>A single hot prompt spreads to other engines, because its cost at the rendezvous engine grows
 * with the load until another engine is cheaper. In a large fleet each instance considers only a
 * random sample of the upstreams; otherwise all instances, which see the same stale loads of their
 * peers, would choose the same upstream. Not thread-safe.
 */
public final class UpstreamChooser {
    /** Weight of the newest prompt in the typical length of prompts. */
    private static final double PROMPT_SMOOTHING_FACTOR = 0.02;

    private final UpstreamEligibility mEligibility;
    private final FleetLoad mLoad;
    private final FleetSample mSample;
    private final UpstreamCost mCost;

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

        private Choice withBackupAndStore(
                Optional<Upstream> newBackup, Optional<HostAndPort> newSaveTo) {
            return new Choice(
                    target,
                    fetchFrom,
                    newBackup,
                    newSaveTo,
                    uncachedTokens,
                    baselineFirstTokenNanos,
                    firstTokenNanos,
                    queueWaitNanos);
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

        /** Returns the same prompt in another scope. */
        public PlacementRequest withCacheScope(String newScope) {
            return new PlacementRequest(
                    prompt, newScope, versions, fetchNanosPerToken, promptStore, deadline);
        }
    }

    private UpstreamChooser(
            RandomGenerator random, PeerLoads peerLoads, SendPermission permission) {
        mEligibility = UpstreamEligibility.of(permission);
        mLoad = new FleetLoad(peerLoads);
        mSample = new FleetSample(random, mLoad);
        mCost = new UpstreamCost(random, mLoad);
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
        for (UpstreamState state :
                mSample.ofUpstreams(mEligibility.eligible(states, excluded, now))) {
            double cost = mCost.ofUpstream(state, now);
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
        Prompt prompt = request.prompt();
        List<EngineCandidate> candidates =
                EngineCandidate.listOf(
                        eligibleEngines(states, excluded, prompt, now), request, now);
        EngineCandidate rendezvousEngine = RendezvousHash.select(candidates, prompt);
        CacheTransfers transfers = new CacheTransfers(mLoad, candidates, request, now);
        double usualNanosPerOutputToken = mCost.usualNanosPerOutputToken(candidates);
        EngineCandidate best = null;
        Choice bestChoice = null;
        double lowestCost = Double.MAX_VALUE;
        for (EngineCandidate candidate : mSample.ofEngines(candidates, rendezvousEngine)) {
            Choice choice = mCost.estimate(candidate, transfers.sourceFor(candidate), request);
            double cost = mCost.ofEngine(choice, candidate, usualNanosPerOutputToken, request, now);
            if (candidate == rendezvousEngine) {
                cost -= UpstreamCost.rendezvousCredit(prompt);
            }
            if (cost < lowestCost) {
                lowestCost = cost;
                best = candidate;
                bestChoice = choice;
            }
        }
        return best == null
                ? Optional.empty()
                : Optional.of(
                        bestChoice.withBackupAndStore(
                                transfers.backupFor(best), transfers.saveTargetFor(best)));
    }

    /**
     * Returns the engines that may get a prompt. Limits count requests whatever their length, so
     * short prompts leave engines with a limit to long ones, which relieve the other engines more.
     */
    private List<UpstreamState> eligibleEngines(
            Collection<UpstreamState> states, Set<InstanceId> excluded, Prompt prompt, long now) {
        List<UpstreamState> eligible = mEligibility.eligible(states, excluded, now);
        recordLength(prompt);
        return prompt.tokens() >= mTypicalPromptTokens
                ? eligible
                : mEligibility.preferSpare(eligible, now);
    }

    private void recordLength(Prompt prompt) {
        if (mTypicalPromptTokens == 0) {
            mTypicalPromptTokens = prompt.tokens();
        }
        mTypicalPromptTokens += PROMPT_SMOOTHING_FACTOR * (prompt.tokens() - mTypicalPromptTokens);
    }
}
