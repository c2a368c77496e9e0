package org.catkinproxy.route;

import org.catkinproxy.cache.BlockIndex;
import org.catkinproxy.id.BlockKey;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/**
 * Applies one engine's cache events to the index, and detects lost events by gaps in the sequence.
 *
 * <p>Invariant: while {@link #needsSnapshot} is true, events were lost and the engine's blocks in
 * the index have not yet been replaced by a snapshot. Later events are applied at once and
 * buffered, to be applied again after the snapshot. The owner passes in events and snapshots of the
 * engine's current incarnation only. Each event takes time linear in its blocks. Not thread-safe.
 */
final class CacheEventApplier {
    private static final int MAX_BUFFERED_EVENTS = 4_096;
    private static final long SNAPSHOT_RETRY_NANOS = 1_000_000_000L;
    private static final long FIRST_SEQUENCE = 1;

    private final BlockIndex mIndex;
    private final int mEngine;
    private final BlockLifetimeEstimate mBlockLifetime;

    /** The events since the gap, the oldest first; the oldest are dropped if there are too many. */
    private final ArrayDeque<RouteEvent.CacheChanged> mBufferedEvents = new ArrayDeque<>();

    private long mLastSequence;
    private boolean mNeedsSnapshot;
    private boolean mSnapshotRequested;
    private long mSnapshotRequestedNanos;

    CacheEventApplier(BlockIndex index, int engine, BlockLifetimeEstimate blockLifetime) {
        mIndex = index;
        mEngine = engine;
        mBlockLifetime = blockLifetime;
    }

    boolean needsSnapshot() {
        return mNeedsSnapshot;
    }

    /** Resets the state for an engine that restarted with an empty cache. */
    void reset() {
        mIndex.clear(mEngine);
        mBufferedEvents.clear();
        mLastSequence = FIRST_SEQUENCE - 1;
        mNeedsSnapshot = false;
        mSnapshotRequested = false;
    }

    void apply(long nowNanos, RouteEvent.CacheChanged event) {
        if (event.sequence() <= mLastSequence) {
            return;
        }
        if (event.sequence() != mLastSequence + 1) {
            mNeedsSnapshot = true;
        }
        mLastSequence = event.sequence();
        if (mNeedsSnapshot) {
            buffer(event);
        }
        updateIndex(nowNanos, event);
    }

    /**
     * Replaces the engine's blocks by a snapshot and applies the buffered events after it again.
     */
    void applySnapshot(long nowNanos, RouteEvent.CacheSnapshot snapshot) {
        mSnapshotRequested = false;
        mIndex.clear(mEngine);
        for (BlockKey key : snapshot.blocks()) {
            mIndex.put(key, mEngine, nowNanos);
        }
        List<RouteEvent.CacheChanged> events = new ArrayList<>(mBufferedEvents);
        mBufferedEvents.clear();
        mNeedsSnapshot = false;
        mLastSequence = snapshot.sequence();
        for (RouteEvent.CacheChanged event : events) {
            apply(nowNanos, event);
        }
    }

    /**
     * Starts a snapshot request if a snapshot is needed and no recent request is pending.
     *
     * @return whether the caller must request a snapshot
     */
    boolean tryBeginSnapshotRequest(long nowNanos) {
        if (!mNeedsSnapshot
                || mSnapshotRequested
                        && nowNanos - mSnapshotRequestedNanos < SNAPSHOT_RETRY_NANOS) {
            return false;
        }
        mSnapshotRequested = true;
        mSnapshotRequestedNanos = nowNanos;
        return true;
    }

    private void buffer(RouteEvent.CacheChanged event) {
        if (mBufferedEvents.size() == MAX_BUFFERED_EVENTS) {
            mBufferedEvents.removeFirst();
        }
        mBufferedEvents.addLast(event);
    }

    private void updateIndex(long nowNanos, RouteEvent.CacheChanged event) {
        switch (event.change()) {
            case STORED -> event.blocks().forEach(key -> mIndex.put(key, mEngine, nowNanos));
            case EVICTED -> event.blocks().forEach(key -> evict(key, nowNanos));
            case CLEARED -> mIndex.clear(mEngine);
            default -> throw new AssertionError(event.change());
        }
    }

    private void evict(BlockKey key, long nowNanos) {
        long age = mIndex.remove(key, mEngine, nowNanos);
        if (age >= 0) {
            mBlockLifetime.addEvictionAge(age);
        }
    }
}
