package org.catkinproxy.serving;

import org.catkinproxy.id.InstanceId;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * Chooses the upstream that is expected to answer a request first.
 *
 * <p>For a plain service that is the one with the least time for an answer, load and failures
 * considered. For an engine it is the least time to the first token: the prompts that wait there,
 * and the part of the prompt that has to be computed. Rendezvous hashing of the prompt's shared
 * parts names an engine that is taken to have them, so that instances which do not know of each
 * other's requests send equal prompts to the same engine. Answers the load patterns of one hot
 * prompt (its cost at the home engine grows until another is cheaper), of upstreams of unequal
 * speed, and of upstreams that fail while they are listed. Not safe for use by several threads.
 */
public final class UpstreamChooser {
    /** Time that an ordinary engine computes a prompt token. */
    private static final double NANOS_PER_TOKEN = 25_000;

    /** Time to the first token of an ordinary engine that has the whole prompt cached. */
    private static final double FIRST_TOKEN_NANOS = 20_000_000;

    /** What each running request adds to the first token's time. */
    private static final double NANOS_PER_RUN = 1_000_000;

    /** Engines with old weights are used only if the others would be this much later. */
    private static final double OLD_WEIGHTS_NANOS = 400_000_000;

    private static final double ERROR_WEIGHT = 6;

    /** Costs that differ by less are taken as equal, so that ties spread. */
    private static final double JITTER = 0.2;

    private final RandomGenerator mRandom;

    /**
     * The chosen upstream.
     *
     * @param load the upstream
     * @param uncachedTokens the prompt tokens that it has to compute, 0 for a plain service
     * @param expectedNanos the time that an ordinary upstream would need, without its queue
     */
    public record Choice(UpstreamLoad load, long uncachedTokens, double expectedNanos) {}

    private UpstreamChooser(RandomGenerator random) {
        mRandom = random;
    }

    /** Returns a chooser that breaks ties by {@code random}. */
    public static UpstreamChooser of(RandomGenerator random) {
        return new UpstreamChooser(random);
    }

    /** Returns the upstream of a plain service for a request, empty if none may have it. */
    public Optional<Choice> choosePlain(
            Collection<UpstreamLoad> loads, Set<InstanceId> excluded, long now) {
        UpstreamLoad best = null;
        double least = Double.MAX_VALUE;
        for (UpstreamLoad load : usable(loads, excluded, now)) {
            double cost = load.slowness() * (1 + load.inFlight()) * jitter();
            cost *= 1 + ERROR_WEIGHT * load.errorShare(now);
            if (cost < least) {
                least = cost;
                best = load;
            }
        }
        return Optional.ofNullable(best).map(l -> new Choice(l, 0, 0));
    }

    /**
     * Returns the engine for a prompt, empty if none may have it.
     *
     * @param keys the prompt's chain keys
     * @param wantedVersion the newest weights version of the model
     */
    public Optional<Choice> chooseEngine(
            Collection<UpstreamLoad> loads,
            Set<InstanceId> excluded,
            Prompt prompt,
            long[] keys,
            int wantedVersion,
            long now) {
        List<UpstreamLoad> usable = usable(loads, excluded, now);
        UpstreamLoad home = home(usable, keys);
        Choice best = null;
        double least = Double.MAX_VALUE;
        for (UpstreamLoad load : usable) {
            long cached = load.cachedTokens(prompt, keys);
            if (load == home) {
                cached = Math.max(cached, sharedTokens(prompt));
            }
            long uncached = Math.max(0, prompt.tokens() - cached);
            double alone = FIRST_TOKEN_NANOS + uncached * NANOS_PER_TOKEN;
            double queue = load.pendingTokens() * NANOS_PER_TOKEN;
            double cost = load.slowness() * (alone + queue + load.inFlight() * NANOS_PER_RUN);
            cost *= 1 + ERROR_WEIGHT * load.errorShare(now);
            cost += load.version(prompt) < wantedVersion ? OLD_WEIGHTS_NANOS : 0;
            if (cost < least) {
                least = cost;
                best = new Choice(load, uncached, alone + queue);
            }
        }
        return Optional.ofNullable(best);
    }

    /** Those that are fit, or all that are not leaving if none is. */
    private static List<UpstreamLoad> usable(
            Collection<UpstreamLoad> loads, Set<InstanceId> excluded, long now) {
        List<UpstreamLoad> others =
                loads.stream().filter(l -> !excluded.contains(l.upstream().id())).toList();
        List<UpstreamLoad> fit = others.stream().filter(l -> l.isFit(now)).toList();
        return fit.isEmpty() ? others.stream().filter(l -> !l.upstream().leaving()).toList() : fit;
    }

    /** The last part is the request's own; what is before it is shared. */
    private static int sharedTokens(Prompt prompt) {
        int tokens = 0;
        for (int i = 0; i < prompt.parts().size() - 1; i++) {
            tokens += prompt.parts().get(i).tokens();
        }
        return tokens;
    }

    private static UpstreamLoad home(List<UpstreamLoad> loads, long[] keys) {
        if (keys.length < 2) {
            return null;
        }
        long key = keys[keys.length - 2];
        UpstreamLoad best = null;
        double highest = Double.NEGATIVE_INFINITY;
        for (UpstreamLoad load : loads) {
            double score = rendezvous(key, load);
            if (score > highest) {
                highest = score;
                best = load;
            }
        }
        return best;
    }

    private static double rendezvous(long key, UpstreamLoad load) {
        long z = key ^ (load.upstream().id().hashCode() * 0x9e37_79b9_7f4a_7c15L);
        z = (z ^ (z >>> 30)) * 0xbf58_476d_1ce4_e5b9L;
        z = (z ^ (z >>> 27)) * 0x94d0_49bb_1331_11ebL;
        return (z ^ (z >>> 31)) >>> 11;
    }

    private double jitter() {
        return 1 + JITTER * mRandom.nextDouble();
    }
}
