package org.catkinproxy.serving;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * The upstreams that an instance considers for one request.
 *
 * <p>In a large fleet these are a random sample: all instances see the same stale loads of their
 * peers and would choose the same upstream otherwise. Not thread-safe.
 */
final class FleetSample {
    /**
     * With more peers, upstreams are sampled; otherwise all instances would choose the same one.
     */
    private static final int MAX_PEERS_WITHOUT_SAMPLING = 10;

    /** Number of engines that are sampled for a prompt. */
    private static final int SAMPLED_ENGINES = 4;

    /** Number of upstreams that are sampled for a request to a service without engines. */
    private static final int SAMPLED_UPSTREAMS = 2;

    private final RandomGenerator mRandom;
    private final FleetLoad mLoad;

    FleetSample(RandomGenerator random, FleetLoad load) {
        mRandom = random;
        mLoad = load;
    }

    /** Returns the upstreams to consider for a request to a service without engines. */
    List<UpstreamState> ofUpstreams(List<UpstreamState> eligible) {
        return sample(eligible, SAMPLED_UPSTREAMS);
    }

    /**
     * Returns all candidates in a small fleet. In a large fleet returns a random sample, the engine
     * that has most of the prompt cached, and the rendezvous engine.
     *
     * @param rendezvousEngine the rendezvous engine, null if the prompt has none
     */
    Collection<EngineCandidate> ofEngines(
            List<EngineCandidate> candidates, EngineCandidate rendezvousEngine) {
        if (!isLargeFleet()) {
            return candidates;
        }
        Set<EngineCandidate> sampled = new LinkedHashSet<>(sample(candidates, SAMPLED_ENGINES));
        candidates.stream()
                .filter(c -> c.cachedTokens() > 0)
                .max(Comparator.comparingLong(EngineCandidate::cachedTokens))
                .ifPresent(sampled::add);
        if (rendezvousEngine != null) {
            sampled.add(rendezvousEngine);
        }
        return sampled;
    }

    private boolean isLargeFleet() {
        return mLoad.peerCount() > MAX_PEERS_WITHOUT_SAMPLING;
    }

    /** Returns {@code count} random elements in a large fleet, and all elements in a small one. */
    private <T> List<T> sample(List<T> all, int count) {
        if (!isLargeFleet() || all.size() <= count) {
            return all;
        }
        List<T> shuffled = new ArrayList<>(all);
        for (int i = 0; i < count; i++) {
            Collections.swap(shuffled, i, i + mRandom.nextInt(shuffled.size() - i));
        }
        return shuffled.subList(0, count);
    }
}
