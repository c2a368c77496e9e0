package org.catkinproxy.serving;

import com.google.common.net.HostAndPort;

import org.catkinproxy.id.ModelId;

import java.util.List;

/**
 * An engine that may get a prompt, its weights, and the leading tokens of the prompt that it has
 * cached.
 *
 * <p>Valid for one choice. Compared by identity. Not thread-safe.
 */
final class EngineCandidate {
    private final UpstreamState mState;
    private final int mVersion;
    private final long mCachedTokens;

    private EngineCandidate(
            UpstreamState state, UpstreamChooser.PlacementRequest request, long now) {
        mState = state;
        mVersion = state.knownVersion(request.prompt());
        mCachedTokens = tokensIn(state.promptCache(), request, now);
    }

    /**
     * Returns the engines whose weights are usable, or those whose weights may be usable if there
     * are none.
     */
    static List<EngineCandidate> listOf(
            List<UpstreamState> states, UpstreamChooser.PlacementRequest request, long now) {
        DesiredVersions versions = request.versions();
        ModelId model = request.prompt().model();
        List<EngineCandidate> all =
                states.stream().map(s -> new EngineCandidate(s, request, now)).toList();
        List<EngineCandidate> usable =
                all.stream().filter(c -> versions.isUsable(model, c.mVersion, now)).toList();
        return usable.isEmpty()
                ? all.stream().filter(c -> versions.mayBeUsable(model, c.mVersion, now)).toList()
                : usable;
    }

    UpstreamState state() {
        return mState;
    }

    HostAndPort address() {
        return mState.upstream().address();
    }

    /** Returns the version of the weights that the engine is known to have, or 0. */
    int version() {
        return mVersion;
    }

    long cachedTokens() {
        return mCachedTokens;
    }

    /** Returns how many leading tokens a store has that were computed with the same weights. */
    long storedTokens(PromptStoreView store, UpstreamChooser.PlacementRequest request, long now) {
        return tokensIn(store.contents(), request, now);
    }

    private long tokensIn(
            PromptCacheView cache, UpstreamChooser.PlacementRequest request, long now) {
        long[] keys = request.prompt().partKeys(request.cacheScope(mVersion));
        return cache.cachedTokens(request.prompt(), keys, now);
    }
}
