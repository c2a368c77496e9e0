package org.catkinproxy.route;

import org.catkinproxy.cache.BlockIndex;
import org.catkinproxy.id.BlockKey;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/**
 * Applies one engine's cache events to the index, and notices when some are missing.
 *
 * <p>Invariant: while {@link #isSuspect}, events were lost and a snapshot has not yet replaced what
 * the index says of the engine; events that came since are kept, to be applied again on top of the
 * snapshot. An event or snapshot is applied only for the present incarnation, which the owner
 * checks. Each event takes time linear in its blocks. Not safe for use by several threads.
 */
final class CacheFeed {
    private static final int MAX_KEPT_EVENTS = 4_096;
    private static final long RESYNC_RETRY_NANOS = 1_000_000_000L;
    private static final long FIRST_SEQUENCE = 1;

    private final BlockIndex mIndex;
    private final int mEngine;
    private final Residence mResidence;
    private final ArrayDeque<RouteEvent.CacheChanged> mKept = new ArrayDeque<>();
    private long mLast;
    private boolean mSuspect;
    private boolean mAsked;
    private long mAskedNanos;

    CacheFeed(BlockIndex index, int engine, Residence residence) {
        mIndex = index;
        mEngine = engine;
        mResidence = residence;
    }

    boolean isSuspect() {
        return mSuspect;
    }

    /** Forgets everything: the engine has started anew with an empty cache. */
    void restart() {
        mIndex.clear(mEngine);
        mKept.clear();
        mLast = FIRST_SEQUENCE - 1;
        mSuspect = false;
        mAsked = false;
    }

    void apply(long nowNanos, RouteEvent.CacheChanged event) {
        if (event.sequence() <= mLast) {
            return;
        }
        if (event.sequence() != mLast + 1) {
            mSuspect = true;
        }
        mLast = event.sequence();
        if (mSuspect) {
            keep(event);
        }
        change(nowNanos, event);
    }

    /** Replaces what is known by a snapshot and applies the later events again. */
    void replace(long nowNanos, RouteEvent.CacheSnapshot snapshot) {
        mAsked = false;
        mIndex.clear(mEngine);
        for (BlockKey key : snapshot.blocks()) {
            mIndex.put(key, mEngine, nowNanos);
        }
        List<RouteEvent.CacheChanged> kept = new ArrayList<>(mKept);
        mKept.clear();
        mSuspect = false;
        mLast = snapshot.sequence();
        for (RouteEvent.CacheChanged event : kept) {
            apply(nowNanos, event);
        }
    }

    /** Tells whether a snapshot should be asked for now, and notes that it was. */
    boolean shouldAsk(long nowNanos) {
        if (!mSuspect || mAsked && nowNanos - mAskedNanos < RESYNC_RETRY_NANOS) {
            return false;
        }
        mAsked = true;
        mAskedNanos = nowNanos;
        return true;
    }

    private void keep(RouteEvent.CacheChanged event) {
        if (mKept.size() == MAX_KEPT_EVENTS) {
            mKept.removeFirst();
        }
        mKept.addLast(event);
    }

    private void change(long nowNanos, RouteEvent.CacheChanged event) {
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
            mResidence.observe(age);
        }
    }
}
