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
 * <p>For a plain service that is the one with the least time for an answer, load and failures
 * considered. For an engine it is the least time to the first token: the prompts that wait there,
 * and the part of the prompt that has to be computed or copied. While no engine is known to have
 * the shared parts, rendezvous hashing names one that goes first, so that instances which do not
 * know of each other's requests send equal prompts to the same engine. Answers the load patterns of
 * one hot prompt (its cost at the home engine grows until another is cheaper), of upstreams of
 * unequal speed, of upstreams that fail while they are listed, and of many instances that see the
 * same late figures of the others (each considers only some upstreams, chosen at random). Not safe
 * for use by several threads.
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

    /** Less than this is computed rather than copied: memory goes by blocks of about this size. */
    private static final long LEAST_FETCH_TOKENS = 32;

    /** Copies between data centres take longer than within one. */
    private static final double FETCH_SHARE_ACROSS = 1.7;

    /** What the engine that goes first for a prompt is credited of the shared parts' time. */
    private static final double HOME_SHARE = 0.5;

    private static final double ERROR_WEIGHT = 6;

    /** Costs that differ by less are taken as equal, so that ties spread. */
    private static final double JITTER = 0.2;

    /** With more peers than this, upstreams are sampled: else all would choose the same one. */
    private static final int FEW_PEERS = 10;

    /** How many engines are sampled for a prompt. */
    private static final int RANDOM_ENGINES = 4;

    /** How many upstreams of a plain service are sampled for a request. */
    private static final int RANDOM_UPSTREAMS = 2;

    private final RandomGenerator mRandom;
    private final PeerLoads mPeers;

    /**
     * The chosen upstream.
     *
     * @param load the upstream
     * @param source from where it is to copy what it lacks, empty if there is nothing to copy
     * @param backup an engine with the same weights that can keep a copy of the run's memory
     * @param keepAt where it is to send the prompt for others, empty for nowhere
     * @param uncachedTokens the prompt tokens that it has to compute, 0 for a plain service
     * @param expectedNanos the time that an ordinary engine would need to the first token
     * @param firstTokenNanos the time that this engine is expected to need, its speed and the
     *     requests that run there considered; 0 for a plain service
     * @param waitNanos the part of it that is spent behind other requests
     */
    public record Choice(
            UpstreamLoad load,
            Optional<HostAndPort> source,
            Optional<Upstream> backup,
            Optional<HostAndPort> keepAt,
            long uncachedTokens,
            double expectedNanos,
            double firstTokenNanos,
            double waitNanos) {
        /** Returns a choice for which nothing is to be computed or copied. */
        public static Choice of(UpstreamLoad load) {
            return new Choice(
                    load, Optional.empty(), Optional.empty(), Optional.empty(), 0, 0, 0, 0);
        }
    }

    /**
     * A prompt to be placed.
     *
     * @param prompt the prompt
     * @param scope what sets its cached parts apart from others of the same version
     * @param versions the versions of weights that were named
     * @param fetchNanosPerToken how long an engine takes to copy a token from another one
     * @param kept the store of kept prompts, empty if there is none
     */
    public record PlacedPrompt(
            Prompt prompt,
            String scope,
            NamedVersions versions,
            double fetchNanosPerToken,
            Optional<KeptPrompts> kept) {
        /** Returns the newest version of its model's weights. */
        public int newestVersion() {
            return versions.newest(prompt.model());
        }

        /** Returns the scope of what an engine with weights {@code version} has cached. */
        public String scope(int version) {
            return scope + "." + version;
        }
    }

    private UpstreamChooser(RandomGenerator random, PeerLoads peers) {
        mRandom = random;
        mPeers = peers;
    }

    /**
     * Returns a chooser that breaks ties by {@code random}.
     *
     * @param peers what the other instances have open, kept up to date by the owner
     */
    public static UpstreamChooser of(RandomGenerator random, PeerLoads peers) {
        return new UpstreamChooser(random, peers);
    }

    /** Returns the upstream of a plain service for a request, empty if none may have it. */
    public Optional<Choice> choosePlain(
            Collection<UpstreamLoad> loads, Set<InstanceId> excluded, long now) {
        UpstreamLoad best = null;
        double least = Double.MAX_VALUE;
        for (UpstreamLoad load : sample(usable(loads, excluded, now), RANDOM_UPSTREAMS)) {
            double cost = load.slowness() * (1 + requests(load)) * jitter();
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
        List<Candidate> candidates = candidates(usable(loads, excluded, now), placed, now);
        Candidate home = home(candidates, placed.prompt());
        Choice best = null;
        double least = Double.MAX_VALUE;
        for (Candidate candidate : contenders(candidates, home)) {
            Choice choice = choice(candidate, candidates, placed, now);
            double cost = cost(choice, candidate, placed, now);
            if (candidate == home) {
                cost -= HOME_SHARE * placed.prompt().sharedTokens() * NANOS_PER_TOKEN;
            }
            if (cost < least) {
                least = cost;
                best = choice;
            }
        }
        return Optional.ofNullable(best).map(c -> withCopies(c, candidates, placed, now));
    }

    /** The engine that has most of the prompt, and some others where there are many peers. */
    private Collection<Candidate> contenders(List<Candidate> candidates, Candidate home) {
        if (mPeers.peers() <= FEW_PEERS) {
            return candidates;
        }
        Set<Candidate> contenders = new LinkedHashSet<>(sample(candidates, RANDOM_ENGINES));
        candidates.stream()
                .filter(c -> c.mCached > 0)
                .max(Comparator.comparingLong(c -> c.mCached))
                .ifPresent(contenders::add);
        if (home != null) {
            contenders.add(home);
        }
        return contenders;
    }

    /** Returns some of them, chosen at random, where there are many peers; else all. */
    private <T> List<T> sample(List<T> all, int count) {
        if (mPeers.peers() <= FEW_PEERS || all.size() <= count) {
            return all;
        }
        List<T> rest = new ArrayList<>(all);
        for (int i = 0; i < count; i++) {
            Collections.swap(rest, i, i + mRandom.nextInt(rest.size() - i));
        }
        return rest.subList(0, count);
    }

    private int requests(UpstreamLoad load) {
        return load.inFlight() + mPeers.at(load.upstream().id()).requests();
    }

    private long pendingTokens(UpstreamLoad load) {
        return load.pendingTokens() + mPeers.at(load.upstream().id()).pendingTokens();
    }

    /** Adds the least busy other engine with the same weights, and where to keep the prompt. */
    private Choice withCopies(
            Choice choice, List<Candidate> candidates, PlacedPrompt placed, long now) {
        Candidate chosen =
                candidates.stream().filter(c -> c.mLoad == choice.load()).findFirst().orElseThrow();
        Optional<Upstream> backup =
                candidates.stream()
                        .filter(c -> c != chosen && c.mVersion == chosen.mVersion)
                        .min(Comparator.comparingInt(c -> requests(c.mLoad)))
                        .map(c -> c.mLoad.upstream());
        Optional<HostAndPort> keepAt =
                placed.kept()
                        .filter(k -> isWorthKeeping(k, chosen, placed, now))
                        .map(KeptPrompts::address);
        return new Choice(
                choice.load(),
                choice.source(),
                backup,
                keepAt,
                choice.uncachedTokens(),
                choice.expectedNanos(),
                choice.firstTokenNanos(),
                choice.waitNanos());
    }

    /** Tells whether shared parts are long, and the store lacks some of them. */
    private static boolean isWorthKeeping(
            KeptPrompts kept, Candidate chosen, PlacedPrompt placed, long now) {
        long lacking = placed.prompt().sharedTokens() - chosen.keptTokens(kept, placed, now);
        return chosen.mVersion > 0 && lacking >= LEAST_FETCH_TOKENS;
    }

    /** The engines whose weights are new enough, or may be if none certainly are. */
    private static List<Candidate> candidates(
            List<UpstreamLoad> loads, PlacedPrompt placed, long now) {
        NamedVersions versions = placed.versions();
        ModelId model = placed.prompt().model();
        List<Candidate> all = loads.stream().map(l -> new Candidate(l, placed, now)).toList();
        List<Candidate> usable =
                all.stream().filter(c -> versions.isUsable(model, c.mVersion, now)).toList();
        return usable.isEmpty()
                ? all.stream().filter(c -> versions.mayBeUsable(model, c.mVersion, now)).toList()
                : usable;
    }

    private Choice choice(Candidate candidate, List<Candidate> all, PlacedPrompt placed, long now) {
        UpstreamLoad load = candidate.mLoad;
        long cached = candidate.mCached;
        Optional<Source> source = source(candidate, cached, all, placed, now);
        long fetched = source.map(Source::tokens).orElse(cached) - cached;
        long uncached = Math.max(0, placed.prompt().tokens() - cached - fetched);
        double queue = pendingTokens(load) * NANOS_PER_TOKEN;
        double expected =
                FIRST_TOKEN_NANOS
                        + uncached * NANOS_PER_TOKEN
                        + fetched * placed.fetchNanosPerToken() * FETCH_SHARE_ACROSS
                        + queue;
        double runs = requests(load) * NANOS_PER_RUN;
        return new Choice(
                load,
                source.map(Source::address),
                Optional.empty(),
                Optional.empty(),
                uncached,
                expected,
                load.slowness() * (expected + runs),
                load.slowness() * (queue + runs));
    }

    private static double cost(Choice choice, Candidate candidate, PlacedPrompt placed, long now) {
        UpstreamLoad load = candidate.mLoad;
        double cost = choice.firstTokenNanos() * (1 + ERROR_WEIGHT * load.errorShare(now));
        return cost + (candidate.mVersion < placed.newestVersion() ? OLD_WEIGHTS_NANOS : 0);
    }

    /** From where a prompt can be copied, and how many leading tokens of it are there. */
    private record Source(HostAndPort address, long tokens) {}

    /** The best source for what {@code candidate} lacks, made on the same weights. */
    private static Optional<Source> source(
            Candidate candidate, long cached, List<Candidate> all, PlacedPrompt placed, long now) {
        if (candidate.mVersion == 0) {
            return Optional.empty();
        }
        Stream<Source> engines =
                all.stream()
                        .filter(c -> c != candidate && c.mVersion == candidate.mVersion)
                        .map(c -> new Source(c.mLoad.upstream().address(), c.mCached));
        Stream<Source> kept =
                placed.kept().stream()
                        .map(k -> new Source(k.address(), candidate.keptTokens(k, placed, now)));
        // Among equals the engines go first: their links are many, the store's is one.
        return Stream.concat(engines, kept)
                .filter(s -> s.tokens() - cached >= LEAST_FETCH_TOKENS)
                .max(Comparator.comparingLong(Source::tokens).thenComparing(s -> isEngine(s, all)));
    }

    private static boolean isEngine(Source source, List<Candidate> all) {
        return all.stream().anyMatch(c -> c.mLoad.upstream().address().equals(source.address()));
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

        long keptTokens(KeptPrompts kept, PlacedPrompt placed, long now) {
            long[] keys = placed.prompt().keys(placed.scope(mVersion));
            return kept.cached().tokens(placed.prompt(), keys, now);
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

    /** The engine that goes first for shared parts that none is known to have yet. */
    private static Candidate home(List<Candidate> candidates, Prompt prompt) {
        boolean unknown = candidates.stream().allMatch(c -> c.mCached == 0);
        if (!unknown || prompt.parts().size() < 2) {
            return null;
        }
        long key = prompt.parts().get(0).id();
        return candidates.stream()
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
