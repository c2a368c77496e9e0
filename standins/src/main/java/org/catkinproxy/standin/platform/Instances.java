package org.catkinproxy.standin.platform;

import com.fasterxml.jackson.databind.JsonNode;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The list of instances, shown with a lag.
 *
 * <p>Safe for use by any thread; all state is under one lock.
 */
final class Instances {
    private final Map<String, JsonNode> mShown = new TreeMap<>();
    private final List<Change> mPending = new ArrayList<>();
    private final long mLagNanos;
    private long mStaleUntilNanos = Long.MIN_VALUE;
    private boolean mStale;

    Instances(long lagNanos) {
        mLagNanos = lagNanos;
    }

    /** Lists or, if {@code instance} is null, removes an instance, once the lag is over. */
    synchronized void change(String id, JsonNode instance, long nowNanos) {
        mPending.add(new Change(id, instance, nowNanos + mLagNanos));
    }

    /** Keeps the list as it is until {@code untilNanos}. */
    synchronized void hold(long untilNanos) {
        mStale = true;
        mStaleUntilNanos = untilNanos;
    }

    /** Ends {@link #hold}. */
    synchronized void release() {
        mStale = false;
    }

    synchronized List<JsonNode> list(long nowNanos) {
        if (mStale && nowNanos - mStaleUntilNanos < 0) {
            return List.copyOf(mShown.values());
        }
        mStale = false;
        while (!mPending.isEmpty() && nowNanos - mPending.get(0).shownNanos() >= 0) {
            apply(mPending.remove(0));
        }
        return List.copyOf(mShown.values());
    }

    private void apply(Change change) {
        if (change.instance() == null) {
            mShown.remove(change.id());
        } else {
            mShown.put(change.id(), change.instance());
        }
    }

    private record Change(String id, JsonNode instance, long shownNanos) {}
}
