package org.catkinproxy.serving;

import com.google.common.net.HostAndPort;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * Decides between which places the KV cache of one prompt is copied: from where the engine copies
 * parts that it lacks, where it saves the prompt, and which engine keeps a backup of the run.
 *
 * <p>All places have the same weights, since a KV cache is of no use under others. Not thread-safe.
 */
final class CacheTransfers {
    /**
     * Fewer tokens are computed instead of copied, because a KV cache block has about this size.
     */
    private static final long MIN_FETCH_TOKENS = 32;

    private final FleetLoad mLoad;
    private final List<EngineCandidate> mCandidates;
    private final UpstreamChooser.PlacementRequest mRequest;
    private final long mNow;

    CacheTransfers(
            FleetLoad load,
            List<EngineCandidate> candidates,
            UpstreamChooser.PlacementRequest request,
            long now) {
        mLoad = load;
        mCandidates = candidates;
        mRequest = request;
        mNow = now;
    }

    /** An address from which a prompt can be copied, and how many leading tokens it has there. */
    record FetchSource(HostAndPort address, long tokens) {}

    /**
     * Returns the source with the most leading tokens of the prompt, empty if no source has enough
     * more than {@code candidate}.
     */
    Optional<FetchSource> sourceFor(EngineCandidate candidate) {
        if (candidate.version() == 0) {
            return Optional.empty();
        }
        Stream<FetchSource> engines =
                mCandidates.stream()
                        .filter(c -> c != candidate && c.version() == candidate.version())
                        .map(c -> new FetchSource(c.address(), c.cachedTokens()));
        Stream<FetchSource> stores =
                mRequest.promptStore().stream()
                        .map(s -> new FetchSource(s.address(), storedTokens(s, candidate)));
        // With equal token counts, engines are preferred: they have many links, the store has one.
        return Stream.concat(engines, stores)
                .filter(s -> s.tokens() - candidate.cachedTokens() >= MIN_FETCH_TOKENS)
                .max(Comparator.comparingLong(FetchSource::tokens).thenComparing(this::isEngine));
    }

    private boolean isEngine(FetchSource source) {
        return mCandidates.stream().anyMatch(c -> c.address().equals(source.address()));
    }

    /** Returns the least busy other engine, empty if there is none. */
    Optional<Upstream> backupFor(EngineCandidate chosen) {
        return mCandidates.stream()
                .filter(c -> c != chosen && c.version() == chosen.version())
                .min(Comparator.comparingInt(c -> mLoad.openRequests(c.state())))
                .map(c -> c.state().upstream());
    }

    /** Returns the store if it lacks enough tokens of the shared parts, and empty otherwise. */
    Optional<HostAndPort> saveTargetFor(EngineCandidate chosen) {
        return mRequest.promptStore()
                .filter(s -> isWorthSaving(s, chosen))
                .map(PromptStoreView::address);
    }

    private boolean isWorthSaving(PromptStoreView store, EngineCandidate chosen) {
        long missing = mRequest.prompt().sharedTokens() - storedTokens(store, chosen);
        return chosen.version() > 0 && missing >= MIN_FETCH_TOKENS;
    }

    private long storedTokens(PromptStoreView store, EngineCandidate engine) {
        return engine.storedTokens(store, mRequest, mNow);
    }
}
