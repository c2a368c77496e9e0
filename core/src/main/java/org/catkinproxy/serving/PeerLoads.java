package org.catkinproxy.serving;

import static com.google.common.base.Preconditions.checkArgument;

import org.catkinproxy.id.InstanceId;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;

/**
 * What the other instances have open at each upstream, as they told.
 *
 * <p>Answers the load pattern of many instances that each send a small part of the traffic: what
 * one of them has open itself then says nearly nothing of an upstream's queue. What a peer told
 * holds until it tells anew, or until the owner drops it. Times are nanoseconds of the owner's
 * monotonic clock. Not safe for use by several threads.
 */
public final class PeerLoads {
    private static final Share NOTHING = new Share(0, 0);

    private final Map<InstanceId, Told> mPeers = new HashMap<>();
    private final Map<InstanceId, Share> mTotals = new HashMap<>();

    /**
     * What is open at one upstream.
     *
     * @param requests the requests that run or wait there
     * @param pendingTokens the prompt tokens that these still wait for
     */
    public record Share(int requests, long pendingTokens) {
        /** Checks the figures. */
        public Share {
            checkArgument(requests >= 0, "requests is negative: %s", requests);
            checkArgument(pendingTokens >= 0, "pendingTokens is negative: %s", pendingTokens);
        }

        private Share plus(Share other) {
            return new Share(requests + other.requests, pendingTokens + other.pendingTokens);
        }

        private Share minus(Share other) {
            return new Share(requests - other.requests, pendingTokens - other.pendingTokens);
        }
    }

    /** What one peer told last. */
    private record Told(Map<InstanceId, Share> shares, long at) {}

    private PeerLoads() {}

    /** Returns loads of which nothing was told. */
    public static PeerLoads create() {
        return new PeerLoads();
    }

    /** Takes all that {@code peer} has open, by upstream. */
    public void told(InstanceId peer, Map<InstanceId, Share> shares, long now) {
        forget(mPeers.put(peer, new Told(Map.copyOf(shares), now)));
        shares.forEach((upstream, share) -> mTotals.merge(upstream, share, Share::plus));
    }

    /** Drops what was told longer than {@code ttlNanos} ago. */
    public void expire(long now, long ttlNanos) {
        Iterator<Told> peers = mPeers.values().iterator();
        while (peers.hasNext()) {
            Told told = peers.next();
            if (now - told.at() > ttlNanos) {
                peers.remove();
                forget(told);
            }
        }
    }

    private void forget(Told told) {
        if (told == null) {
            return;
        }
        told.shares()
                .forEach(
                        (upstream, share) ->
                                mTotals.computeIfPresent(
                                        upstream, (id, total) -> less(total, share)));
    }

    private static Share less(Share total, Share share) {
        Share rest = total.minus(share);
        return rest.equals(NOTHING) ? null : rest;
    }

    /** Returns what all peers together have open at {@code upstream}. */
    public Share at(InstanceId upstream) {
        return mTotals.getOrDefault(upstream, NOTHING);
    }

    /** Returns how many requests all peers together have open. */
    public int requests() {
        return mTotals.values().stream().mapToInt(Share::requests).sum();
    }

    /** Returns how many peers have told what they have open. */
    public int peers() {
        return mPeers.size();
    }
}
