package org.catkinproxy.gateway;

import com.google.common.collect.Iterables;
import com.google.common.net.HostAndPort;

import org.catkinproxy.id.InstanceId;
import org.catkinproxy.serving.CacheEventRole;
import org.catkinproxy.serving.FleetIntervals;
import org.catkinproxy.serving.PromptCacheView;

import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * Keeps the views of all caches up to date, by subscribing to their events or by updates from
 * peers.
 *
 * <p>The role of this instance for each cache is determined again when instances join or leave. An
 * instance that relays a cache's events sends the full contents to peers that are new to it and
 * periodically to all peers, since datagrams get lost. Used by the event loop only.
 */
final class CacheTracker {
    /** Subscriptions left unused, as those of instances that just ended may still be open. */
    private static final int SPARE_SUBSCRIBERS = 2;

    /** Limit for the prompt parts in a datagram; a part takes about twelve bytes. */
    private static final int PARTS_PER_DATAGRAM = 90;

    /** Number of groups into which caches are divided; their full contents are relayed in turn. */
    private static final int RELAY_GROUPS = 5;

    private static final long RELAY_GROUP_INTERVAL_MILLIS = 2_000;

    private final Gateway mGateway;
    private final EngineControl mControl;
    private final InstanceId mSelf;
    private final Map<HostAndPort, TrackedCache> mCaches = new HashMap<>();
    private Map<InstanceId, InetSocketAddress> mPeers = Map.of();
    private int mRelayRound;

    /** A cache of an engine or of a prompt store, and this instance's role for it. */
    private final class TrackedCache {
        private final HostAndPort mAddress;
        private final PromptCacheView mView;
        private final int mMaxEventSubscribers;
        private final BooleanSupplier mNeeded;
        private final Map<Long, Integer> mUnrelayed = new HashMap<>();
        private boolean mUnrelayedReset;
        private CacheEventRole mRole = CacheEventRole.LISTEN;

        /** Number of subscriptions started so far; starting one ends the one before it. */
        private int mSubscriptionCount;

        TrackedCache(
                HostAndPort address,
                PromptCacheView view,
                int maxEventSubscribers,
                BooleanSupplier needed) {
            mAddress = address;
            mView = view;
            mMaxEventSubscribers = maxEventSubscribers;
            mNeeded = needed;
        }

        void setRole(CacheEventRole role) {
            boolean startsSubscription = role.isSubscriber() && !mRole.isSubscriber();
            boolean startsRelay = role.isRelay() && !mRole.isRelay();
            if (role != mRole) {
                mGateway.log().record(GatewayEvent.CACHE_DUTY, "cache", mAddress, "duty", role);
            }
            mRole = role;
            if (startsSubscription) {
                int subscription = ++mSubscriptionCount;
                CacheSubscription.start(
                        mGateway,
                        mControl,
                        mAddress,
                        mView,
                        this::onCacheChanged,
                        () ->
                                subscription == mSubscriptionCount
                                        && mRole.isSubscriber()
                                        && isCurrent());
            }
            if (startsRelay) {
                relayAll(mPeers.values());
            }
        }

        boolean isCurrent() {
            return mCaches.get(mAddress) == this && mNeeded.getAsBoolean();
        }

        private void onCacheChanged(Map<Long, Integer> tokensByPartKey, boolean reset) {
            if (!mRole.isRelay()) {
                return;
            }
            if (reset) {
                mUnrelayed.clear();
            }
            mUnrelayedReset |= reset;
            mUnrelayed.putAll(tokensByPartKey);
        }

        /** Relays the changes since the last flush to all peers. */
        void flush() {
            if (mRole.isRelay() && !mUnrelayed.isEmpty()) {
                relay(mUnrelayed, mUnrelayedReset, mPeers.values());
            }
            mUnrelayed.clear();
            mUnrelayedReset = false;
        }

        void relayAll(Collection<InetSocketAddress> peers) {
            if (mRole.isRelay()) {
                relay(mView.storedTokens(), true, peers);
            }
        }

        private void relay(
                Map<Long, Integer> tokensByPartKey,
                boolean reset,
                Collection<InetSocketAddress> peers) {
            boolean first = true;
            for (List<Map.Entry<Long, Integer>> chunk :
                    Iterables.partition(tokensByPartKey.entrySet(), PARTS_PER_DATAGRAM)) {
                Map<Long, Integer> chunkTokensByPartKey = new HashMap<>();
                chunk.forEach(e -> chunkTokensByPartKey.put(e.getKey(), e.getValue()));
                mGateway.peerMessenger()
                        .send(
                                new PeerMessage.CacheUpdate(
                                        mSelf, mAddress, reset && first, chunkTokensByPartKey),
                                peers);
                first = false;
            }
        }
    }

    CacheTracker(Gateway gateway, EngineControl control, InstanceId self) {
        mGateway = gateway;
        mControl = control;
        mSelf = self;
    }

    void start() {
        mGateway.loop()
                .scheduleAtFixedRate(
                        GuardedTask.of(mGateway.log(), "cache relay", this::relayNextGroup),
                        RELAY_GROUP_INTERVAL_MILLIS,
                        RELAY_GROUP_INTERVAL_MILLIS,
                        TimeUnit.MILLISECONDS);
        flush();
    }

    private void flush() {
        long interval = FleetIntervals.cacheUpdateInterval(mGateway.instanceCount()).toMillis();
        mGateway.loop().schedule(this::flush, interval, TimeUnit.MILLISECONDS);
        mCaches.values().forEach(TrackedCache::flush);
    }

    /**
     * Keeps {@code view} up to date while {@code needed} returns true.
     *
     * @param maxEventSubscribers how many subscribers the cache accepts at a time
     */
    void track(
            HostAndPort address,
            PromptCacheView view,
            int maxEventSubscribers,
            BooleanSupplier needed) {
        int usableSubscribers = Math.max(1, maxEventSubscribers - SPARE_SUBSCRIBERS);
        TrackedCache cache = new TrackedCache(address, view, usableSubscribers, needed);
        mCaches.put(address, cache);
        cache.setRole(roleFor(cache));
    }

    private CacheEventRole roleFor(TrackedCache cache) {
        return CacheEventRole.of(
                mSelf, mPeers.keySet(), cache.mAddress, cache.mMaxEventSubscribers);
    }

    /** Determines the role for each cache again after instances joined or left. */
    void onMembersChanged() {
        Map<InstanceId, InetSocketAddress> peers =
                new HashMap<>(mGateway.instanceRegistry().peerAddresses());
        peers.keySet().retainAll(mGateway.instanceRegistry().readyPeers());
        Set<InetSocketAddress> newPeers = new HashSet<>(peers.values());
        newPeers.removeAll(mPeers.values());
        mPeers = Map.copyOf(peers);
        for (TrackedCache cache : mCaches.values()) {
            cache.setRole(roleFor(cache));
            cache.relayAll(newPeers);
        }
    }

    private void relayNextGroup() {
        mRelayRound++;
        mCaches.values().removeIf(c -> !c.isCurrent());
        for (TrackedCache cache : mCaches.values()) {
            if (Math.floorMod(cache.mAddress.hashCode() + mRelayRound, RELAY_GROUPS) == 0) {
                cache.relayAll(mPeers.values());
            }
        }
    }

    /** Applies a peer's update of a cache to which this instance does not subscribe itself. */
    void onPeerUpdate(PeerMessage.CacheUpdate update) {
        TrackedCache cache = mCaches.get(update.cacheAddress());
        if (cache == null || cache.mRole.isSubscriber()) {
            return;
        }
        if (update.reset()) {
            cache.mView.clear();
        }
        update.tokensByPartKey().forEach(cache.mView::setStoredTokens);
    }
}
