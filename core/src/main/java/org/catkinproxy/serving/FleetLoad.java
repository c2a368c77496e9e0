package org.catkinproxy.serving;

/**
 * The load of upstreams by the requests of this instance and of its peers together.
 *
 * <p>Not thread-safe.
 */
final class FleetLoad {
    private final PeerLoads mPeerLoads;

    FleetLoad(PeerLoads peerLoads) {
        mPeerLoads = peerLoads;
    }

    /** Returns the number of other instances that reported their load. */
    int peerCount() {
        return mPeerLoads.peerCount();
    }

    /** Returns how many requests all instances have open at an upstream. */
    int openRequests(UpstreamState state) {
        return state.inFlight() + ofPeers(state).requests();
    }

    /** Returns the prompt tokens that the requests of all instances wait for at an upstream. */
    long pendingTokens(UpstreamState state) {
        return state.pendingTokens() + ofPeers(state).pendingTokens();
    }

    /** Returns the time for an output token that was seen by this instance and its peers, or 0. */
    double nanosPerOutputToken(UpstreamState state) {
        double own = state.nanosPerOutputToken();
        double ofPeers = ofPeers(state).nanosPerOutputToken();
        return own > 0 && ofPeers > 0 ? (own + ofPeers) / 2 : Math.max(own, ofPeers);
    }

    private PeerLoads.Load ofPeers(UpstreamState state) {
        return mPeerLoads.total(state.upstream().id());
    }
}
