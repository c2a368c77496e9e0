package org.catkinproxy.serving;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.net.HostAndPort;

import org.catkinproxy.id.InstanceId;

import java.util.Collection;

/**
 * How one instance learns the contents of one prompt cache.
 *
 * <p>A cache accepts a limited number of event subscribers. While all instances fit within the
 * limit, each of them subscribes. In a larger fleet two instances subscribe, chosen by rendezvous
 * hashing of the cache and the instance: the first relays the events to its peers, the second is a
 * hot standby. Two instances with different views of the membership may both relay for a while,
 * which is harmless. Immutable and thread-safe.
 */
public enum CacheEventRole {
    /** Subscribes to the cache's events for its own use. */
    FOLLOW(true, false),
    /** Subscribes to the cache's events and relays them to the other instances. */
    TELL(true, true),
    /** Receives the events that another instance relays. */
    LISTEN(false, false);

    private final boolean mSubscribes;
    private final boolean mRelays;

    CacheEventRole(boolean subscribes, boolean relays) {
        mSubscribes = subscribes;
        mRelays = relays;
    }

    /** Returns whether the instance subscribes to the cache's events itself. */
    public boolean isSubscriber() {
        return mSubscribes;
    }

    /** Returns whether the instance relays the cache's events to the other instances. */
    public boolean isRelay() {
        return mRelays;
    }

    /**
     * Returns the role of one instance for one cache.
     *
     * @param self the instance
     * @param others the other instances that serve callers
     * @param cache the address of the cache
     * @param maxSubscribers how many event subscribers the cache accepts, at least 1
     */
    public static CacheEventRole of(
            InstanceId self, Collection<InstanceId> others, HostAndPort cache, int maxSubscribers) {
        checkArgument(maxSubscribers > 0, "maxSubscribers is not positive: %s", maxSubscribers);
        if (others.size() < maxSubscribers) {
            return FOLLOW;
        }
        long ownRank = rank(self, cache);
        long higherRanked =
                others.stream()
                        .filter(i -> !i.equals(self))
                        .filter(i -> ranksBefore(rank(i, cache), i, ownRank, self))
                        .count();
        if (higherRanked == 0) {
            return TELL;
        }
        return higherRanked == 1 && maxSubscribers > 1 ? FOLLOW : LISTEN;
    }

    private static boolean ranksBefore(long rank, InstanceId id, long ownRank, InstanceId self) {
        return rank != ownRank ? rank > ownRank : id.value().compareTo(self.value()) < 0;
    }

    private static long rank(InstanceId instance, HostAndPort cache) {
        return Prompt.scopedHash(cache.toString(), instance.value().hashCode());
    }
}
