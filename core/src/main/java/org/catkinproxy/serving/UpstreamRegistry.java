package org.catkinproxy.serving;

import org.catkinproxy.id.InstanceId;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

/**
 * The upstreams in the platform's registry, including entries that expired in a store outage.
 *
 * <p>An entry that disappears while it may have expired in an outage is retained until the grace
 * period after the outage has passed; an entry that is still missing then is dropped.
 *
 * <p>Reads of the registry may be stale, so of two entries of one upstream the one counts that the
 * upstream wrote last, whichever arrived first: an older one is ignored, also after the upstream
 * was removed. One that stays in the registry counts all the same after a while: the entry of an
 * upstream that is silent goes, so this one lives, and its clock may have been set back. An
 * upstream that leaves does so until it starts anew. Times are in nanoseconds of the owner's
 * monotonic clock. Not thread-safe.
 */
public final class UpstreamRegistry {
    /** Receives what the registry decides about single entries. */
    public interface Listener {
        /** Called when an upstream is listed as draining that was not before. */
        void onDraining(Upstream upstream);

        /**
         * Called when an entry is ignored because the known one of the same upstream is newer.
         *
         * @param known the version of the known entry
         */
        void onOlderEntry(Upstream upstream, ListingVersion known);

        /** Called when a missing entry is retained. */
        void onRetained(Upstream upstream);
    }

    /** Time in which the entry of a silent upstream has gone from the registry. */
    private static final long SILENT_ENTRY_NANOS = 10_000_000_000L;

    private final UpstreamHistory mHistory = new UpstreamHistory();
    private final StoreAvailability mStore;
    private final Listener mListener;
    private final Map<InstanceId, Upstream> mListed = new HashMap<>();

    /** Entries that are missing from the registry but retained. */
    private final Map<InstanceId, Upstream> mRetained = new HashMap<>();

    /** Those of {@link #mRetained} that were deleted, and not only missing in a read. */
    private final Set<InstanceId> mRetainedDeleted = new HashSet<>();

    /** Entries that are in the registry but older than the known ones. */
    private final Map<InstanceId, IgnoredEntry> mIgnored = new HashMap<>();

    /**
     * An entry that is ignored as older.
     *
     * @param since when it was first seen in an undisturbed store, empty before that
     */
    private record IgnoredEntry(Upstream upstream, OptionalLong since) {}

    private UpstreamRegistry(StoreAvailability store, Listener listener) {
        mStore = store;
        mListener = listener;
    }

    /**
     * Returns an empty registry.
     *
     * @param outageGrace how long missing entries are retained after a store outage
     * @param peerOutageGrace how long they are retained after the store has answered this instance
     *     while a peer could not reach it, or has failed to answer this instance alone
     * @param listener receives what the registry decides
     */
    public static UpstreamRegistry create(
            Duration outageGrace, Duration peerOutageGrace, Listener listener) {
        return new UpstreamRegistry(new StoreAvailability(outageGrace, peerOutageGrace), listener);
    }

    /** Records that the store answers at {@code now}. */
    public void onStoreAvailable(long now) {
        mStore.onAvailable(now);
    }

    /**
     * Records that the store does not answer at {@code now}.
     *
     * @param attemptedAt when the call was started that failed
     */
    public void onStoreUnavailable(long now, long attemptedAt) {
        mStore.onUnavailable(now, attemptedAt);
    }

    /** Records that the store has answered another instance at {@code answeredAt}. */
    public void onPeerAnswered(long answeredAt) {
        mStore.onPeerAnswered(answeredAt);
    }

    /** Returns when the store last answered this instance, empty if it has not yet. */
    public OptionalLong storeAnsweredAt() {
        return mStore.answeredAt();
    }

    /** Records that the store came back from a copy, which may lack entries of live processes. */
    public void onStoreRestored(long now) {
        mStore.onRestored(now);
    }

    /**
     * Records that the store does not answer another instance, so that entries may expire.
     *
     * @return whether this instance should check the store now, and report the result with {@link
     *     #onStoreChecked} or {@link #onStoreCheckFailed}
     */
    public boolean onPeerStoreOutage(long now) {
        return mStore.onPeerOutage(now);
    }

    /**
     * Returns whether this instance should repeat a check of the store that failed, and report the
     * result. Must be called regularly.
     */
    public boolean startRepeatedStoreCheck() {
        return mStore.startRepeatedCheck();
    }

    /** Records that the store has answered a check. */
    public void onStoreChecked(long now) {
        mStore.onChecked(now);
    }

    /** Records that the store did not answer a check. */
    public void onStoreCheckFailed() {
        mStore.onCheckFailed();
    }

    /**
     * Records that an upstream has said that it leaves, which holds until it starts anew.
     *
     * @return whether it was not known to leave
     */
    public boolean recordLeaving(Upstream upstream) {
        boolean isNew = mHistory.recordLeaving(UpstreamStart.of(upstream));
        mListed.computeIfPresent(upstream.id(), (id, u) -> withHistory(u));
        mRetained.computeIfPresent(upstream.id(), (id, u) -> withHistory(u));
        return isNew;
    }

    private Upstream withHistory(Upstream upstream) {
        return mHistory.isLeaving(UpstreamStart.of(upstream)) ? upstream.asDraining() : upstream;
    }

    /**
     * Adds an entry of the platform's registry or replaces the one with the same id, unless the
     * known entry is newer.
     */
    public void put(Upstream upstream) {
        Optional<ListingVersion> newer = mHistory.findNewer(upstream);
        if (newer.isPresent()) {
            mListener.onOlderEntry(upstream, newer.get());
            ignore(upstream);
            return;
        }
        list(upstream);
    }

    private void ignore(Upstream upstream) {
        IgnoredEntry known = mIgnored.get(upstream.id());
        boolean isSame = known != null && known.upstream().isSameIncarnation(upstream);
        OptionalLong since = isSame ? known.since() : OptionalLong.empty();
        mIgnored.put(upstream.id(), new IgnoredEntry(upstream, since));
    }

    private void list(Upstream upstream) {
        mIgnored.remove(upstream.id());
        mHistory.recordEntry(upstream);
        if (upstream.draining() && mHistory.recordLeaving(UpstreamStart.of(upstream))) {
            mListener.onDraining(upstream);
        }
        mRetained.remove(upstream.id());
        mRetainedDeleted.remove(upstream.id());
        mListed.put(upstream.id(), withHistory(upstream));
    }

    /**
     * Removes an entry that was deleted from the platform's registry. The entry is retained instead
     * if it may have expired in an outage of the store and the upstream is not draining. If the
     * deleted entry was older than the known one, the latter counts as missing.
     */
    public void remove(InstanceId id, long now) {
        if (mIgnored.remove(id) != null) {
            removeMissing(id, now);
            return;
        }
        Upstream last = mListed.remove(id);
        if (last == null) {
            return;
        }
        if (retain(last, now)) {
            mRetainedDeleted.add(id);
        } else {
            mHistory.recordDeleted(last);
        }
    }

    private boolean retain(Upstream last, long now) {
        if (last.draining() || !mStore.mayHaveExpired(now)) {
            return false;
        }
        mRetained.put(last.id(), last);
        mListener.onRetained(last);
        return true;
    }

    /**
     * Removes an entry that a read did not return or that cannot be read. Unlike after {@link
     * #remove}, the same entry is listed again if it returns: the read may have been stale.
     */
    public void removeMissing(InstanceId id, long now) {
        Upstream last = mListed.remove(id);
        if (last != null) {
            retain(last, now);
        }
    }

    /** Replaces all entries by the content of the platform's registry. */
    public void replaceAll(Collection<Upstream> upstreams, long now) {
        Map<InstanceId, Upstream> missing = new HashMap<>(mListed);
        upstreams.forEach(u -> missing.remove(u.id()));
        missing.keySet().forEach(id -> removeMissing(id, now));
        mIgnored.keySet().retainAll(upstreams.stream().map(Upstream::id).toList());
        upstreams.forEach(this::put);
    }

    /**
     * Drops the retained entries unless they may have expired in an outage, and lists ignored ones
     * that have stayed; returns whether there were any. Must be called regularly.
     */
    public boolean expire(long now) {
        if (mStore.mayHaveExpired(now)) {
            mIgnored.replaceAll((id, i) -> new IgnoredEntry(i.upstream(), OptionalLong.empty()));
            return false;
        }
        boolean hadRetained = !mRetained.isEmpty();
        mRetainedDeleted.forEach(id -> mHistory.recordDeleted(mRetained.get(id)));
        mRetainedDeleted.clear();
        mRetained.clear();
        return listIgnored(now) || hadRetained;
    }

    private boolean listIgnored(long now) {
        mIgnored.replaceAll(
                (id, i) -> new IgnoredEntry(i.upstream(), OptionalLong.of(i.since().orElse(now))));
        List<Upstream> lasting =
                mIgnored.values().stream()
                        .filter(i -> now - i.since().getAsLong() >= SILENT_ENTRY_NANOS)
                        .map(IgnoredEntry::upstream)
                        .toList();
        lasting.forEach(this::list);
        return !lasting.isEmpty();
    }

    /** Returns the upstream with {@code id}, empty if it is neither listed nor retained. */
    public Optional<Upstream> find(InstanceId id) {
        Upstream listed = mListed.get(id);
        return Optional.ofNullable(listed != null ? listed : mRetained.get(id));
    }

    /** Returns all upstreams, listed or retained. */
    public Iterator<Upstream> all() {
        Map<InstanceId, Upstream> all = new HashMap<>(mRetained);
        all.putAll(mListed);
        return all.values().iterator();
    }
}
