package org.catkinproxy.serving;

import org.catkinproxy.id.InstanceId;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;

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

    /** Less than this is computed rather than copied. */
    private static final long LEAST_FETCH_TOKENS = 512;

    /** Copies between data centres take longer than within one. */
    private static final double FETCH_SHARE_ACROSS = 1.7;

    /** An engine that is about to change its weights is used only if no other is. */
    private static final double CHANGING_NANOS = 2e9;

    private static final double ERROR_WEIGHT = 6;

    /** Costs that differ by less are taken as equal, so that ties spread. */
    private static final double JITTER = 0.2;

    private final RandomGenerator mRandom;

    /**
     * The chosen upstream.
     *
     * @param load the upstream
     * @param source an engine from which it is to copy what it lacks, empty if there is none
     * @param backup an engine with the same weights that can keep a copy of the run's memory
     * @param uncachedTokens the prompt tokens that it has to compute, 0 for a plain service
     * @param expectedNanos the time that an ordinary upstream would need, without its queue
     */
    public record Choice(
            UpstreamLoad load,
            Optional<Upstream> source,
            Optional<Upstream> backup,
            long uncachedTokens,
            double expectedNanos) {
        /** Returns a choice for which nothing is to be computed or copied. */
        public static Choice of(UpstreamLoad load) {
            return new Choice(load, Optional.empty(), Optional.empty(), 0, 0);
        }
    }

    /**
     * A prompt to be placed.
     *
     * @param prompt the prompt
     * @param scope what sets its cached parts apart from others of the same version
     * @param versions the versions of weights that were named
     * @param fetchNanosPerToken how long an engine takes to copy a token from another one
     */
    public record PlacedPrompt(
            Prompt prompt, String scope, NamedVersions versions, double fetchNanosPerToken) {
        /** Returns the newest version of its model's weights. */
        public int newestVersion() {
            return versions.newest(prompt.model());
        }

        /** Returns the scope of what an engine with weights {@code version} has cached. */
        public String scope(int version) {
            return scope + "." + version;
        }
    }

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
        return Optional.ofNullable(best).map(Choice::of);
    }

    /** Returns the engine for a prompt, empty if none may have it. */
    public Optional<Choice> chooseEngine(
            Collection<UpstreamLoad> loads,
            Set<InstanceId> excluded,
            PlacedPrompt placed,
            long now) {
        List<Candidate> candidates =
                usable(loads, excluded, now).stream()
                        .map(l -> new Candidate(l, placed, now))
                        .filter(c -> isUsable(c, placed, now))
                        .toList();
        Set<InstanceId> changing = changing(loads, placed);
        Candidate home = home(candidates, changing, placed.prompt());
        Choice best = null;
        double least = Double.MAX_VALUE;
        for (Candidate candidate : candidates) {
            Choice choice = choice(candidate, candidates, home, placed);
            double cost = cost(choice, candidate, placed, now);
            cost += changing.contains(candidate.id()) ? CHANGING_NANOS : 0;
            if (cost < least) {
                least = cost;
                best = choice;
            }
        }
        return Optional.ofNullable(best).map(c -> withBackup(c, candidates, changing));
    }

    /** Adds the least busy other engine with the same weights. */
    private static Choice withBackup(
            Choice choice, List<Candidate> candidates, Set<InstanceId> changing) {
        InstanceId chosen = choice.load().upstream().id();
        int version =
                candidates.stream()
                        .filter(c -> c.id().equals(chosen))
                        .findFirst()
                        .orElseThrow()
                        .mVersion;
        Optional<Upstream> backup =
                candidates.stream()
                        .filter(c -> !c.id().equals(chosen) && c.mVersion == version)
                        .filter(c -> !changing.contains(c.id()))
                        .min(Comparator.comparingInt(c -> c.mLoad.inFlight()))
                        .map(c -> c.mLoad.upstream());
        return new Choice(
                choice.load(),
                choice.source(),
                backup,
                choice.uncachedTokens(),
                choice.expectedNanos());
    }

    /**
     * The engines that are about to change their weights, which reject what they have not begun.
     */
    private static Set<InstanceId> changing(Collection<UpstreamLoad> loads, PlacedPrompt placed) {
        int newest = placed.newestVersion();
        return loads.stream()
                .filter(l -> l.version(placed.prompt()) < newest)
                .map(l -> l.upstream().id())
                .sorted()
                .limit(VersionRollout.concurrent(loads.size()))
                .collect(Collectors.toSet());
    }

    private static boolean isUsable(Candidate candidate, PlacedPrompt placed, long now) {
        return placed.versions().isUsable(placed.prompt().model(), candidate.mVersion, now);
    }

    private static Choice choice(
            Candidate candidate, List<Candidate> all, Candidate home, PlacedPrompt placed) {
        long cached = candidate.mCached;
        if (candidate == home) {
            cached = Math.max(cached, sharedTokens(placed.prompt()));
        }
        Optional<Candidate> source = source(candidate, cached, all);
        long fetched = source.map(s -> s.mCached).orElse(cached) - cached;
        long uncached = Math.max(0, placed.prompt().tokens() - cached - fetched);
        double expected =
                FIRST_TOKEN_NANOS
                        + uncached * NANOS_PER_TOKEN
                        + fetched * placed.fetchNanosPerToken() * FETCH_SHARE_ACROSS
                        + candidate.mLoad.pendingTokens() * NANOS_PER_TOKEN;
        return new Choice(
                candidate.mLoad,
                source.map(s -> s.mLoad.upstream()),
                Optional.empty(),
                uncached,
                expected);
    }

    private static double cost(Choice choice, Candidate candidate, PlacedPrompt placed, long now) {
        UpstreamLoad load = candidate.mLoad;
        double cost = load.slowness() * (choice.expectedNanos() + load.inFlight() * NANOS_PER_RUN);
        cost *= 1 + ERROR_WEIGHT * load.errorShare(now);
        return cost + (candidate.mVersion < placed.newestVersion() ? OLD_WEIGHTS_NANOS : 0);
    }

    /** The engine with the same weights that has most of what {@code candidate} lacks. */
    private static Optional<Candidate> source(
            Candidate candidate, long cached, List<Candidate> all) {
        return all.stream()
                .filter(c -> c != candidate && c.mVersion == candidate.mVersion)
                .filter(c -> c.mCached - cached >= LEAST_FETCH_TOKENS)
                .max(Comparator.comparingLong(c -> c.mCached));
    }

    /** An engine, with what it has of the prompt. */
    private static final class Candidate {
        private final UpstreamLoad mLoad;
        private final int mVersion;
        private final long mCached;

        Candidate(UpstreamLoad load, PlacedPrompt placed, long now) {
            mLoad = load;
            mVersion = load.version(placed.prompt());
            long[] keys = placed.prompt().keys(placed.scope(mVersion));
            mCached = load.cached().tokens(placed.prompt(), keys, now);
        }

        InstanceId id() {
            return mLoad.upstream().id();
        }
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

    /** The engine that is taken to have the shared parts while none is known to have them. */
    private static Candidate home(
            List<Candidate> candidates, Set<InstanceId> changing, Prompt prompt) {
        boolean unknown = candidates.stream().allMatch(c -> c.mCached == 0);
        if (!unknown || prompt.parts().size() < 2) {
            return null;
        }
        long key = prompt.parts().get(0).id();
        return candidates.stream()
                .filter(c -> !changing.contains(c.id()))
                .max(Comparator.comparingLong(c -> rendezvous(key, c.mLoad)))
                .orElse(null);
    }

    private static long rendezvous(long key, UpstreamLoad load) {
        long z = key ^ (load.upstream().id().hashCode() * 0x9e37_79b9_7f4a_7c15L);
        z = (z ^ (z >>> 30)) * 0xbf58_476d_1ce4_e5b9L;
        z = (z ^ (z >>> 27)) * 0x94d0_49bb_1331_11ebL;
        return z ^ (z >>> 31);
    }

    private double jitter() {
        return 1 + JITTER * mRandom.nextDouble();
    }
}
