package org.catkinproxy.serving;

import org.catkinproxy.id.InstanceId;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * What is known of upstreams that holds whether or not they are listed: their newest entries, and
 * which of them leave.
 *
 * <p>Remembers a limited number of upstreams, those that were last heard of. Not thread-safe.
 */
final class UpstreamHistory {
    /** Limit for the upstreams that are remembered, several times those of a large fleet. */
    private static final int MAX_UPSTREAMS = 10_000;

    /** The newest entry of each upstream. */
    private final Map<InstanceId, NewestEntry> mNewest = new NewestMap<>();

    private final Set<UpstreamStart> mLeaving = Collections.newSetFromMap(new NewestMap<>());

    /**
     * The newest entry of an upstream.
     *
     * @param deleted whether the entry was deleted: only a newer one shows that the upstream lives
     */
    private record NewestEntry(ListingVersion version, boolean deleted) {
        boolean isNewerThan(ListingVersion other) {
            return other.isOlderThan(version) || (deleted && other.equals(version));
        }
    }

    /** A map that forgets the entry that was put first once it has too many. */
    private static final class NewestMap<K, V> extends LinkedHashMap<K, V> {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
            return size() > MAX_UPSTREAMS;
        }
    }

    /** Returns the version of the newest entry if {@code upstream} is an older one. */
    Optional<ListingVersion> findNewer(Upstream upstream) {
        return Optional.ofNullable(mNewest.get(upstream.id()))
                .filter(n -> n.isNewerThan(upstream.listingVersion()))
                .map(NewestEntry::version);
    }

    /** Records an entry that is not older than the newest known one. */
    void recordEntry(Upstream upstream) {
        record(upstream, false);
    }

    /** Records that the newest entry of an upstream was deleted. */
    void recordDeleted(Upstream upstream) {
        record(upstream, true);
    }

    private void record(Upstream upstream, boolean deleted) {
        mNewest.remove(upstream.id());
        mNewest.put(upstream.id(), new NewestEntry(upstream.listingVersion(), deleted));
    }

    /**
     * Records that an upstream leaves, which holds until it starts anew.
     *
     * @return whether it was not known to leave
     */
    boolean recordLeaving(UpstreamStart start) {
        return mLeaving.add(start);
    }

    /** Returns whether an upstream leaves. */
    boolean isLeaving(UpstreamStart start) {
        return mLeaving.contains(start);
    }
}
