package org.catkinproxy.serving;

import java.util.Comparator;
import java.util.List;

/** Selects the rendezvous engine of a prompt that no engine is known to have cached. */
final class RendezvousHash {
    private RendezvousHash() {}

    /**
     * Returns the rendezvous engine of a prompt whose shared parts no engine is known to have, null
     * if an engine has some of them or the prompt has no shared parts.
     */
    static EngineCandidate select(List<EngineCandidate> candidates, Prompt prompt) {
        boolean isUncached = candidates.stream().allMatch(c -> c.cachedTokens() == 0);
        if (!isUncached || prompt.parts().size() < 2) {
            return null;
        }
        long key = prompt.parts().get(0).id();
        return candidates.stream()
                .max(Comparator.comparingLong(c -> score(key, c.state())))
                .orElse(null);
    }

    private static long score(long key, UpstreamState state) {
        long z = key ^ (state.upstream().id().hashCode() * 0x9e37_79b9_7f4a_7c15L);
        z = (z ^ (z >>> 30)) * 0xbf58_476d_1ce4_e5b9L;
        z = (z ^ (z >>> 27)) * 0x94d0_49bb_1331_11ebL;
        return z ^ (z >>> 31);
    }
}
