package org.catkinproxy.caller;

import java.util.concurrent.atomic.AtomicInteger;

/**
 * Counts the requests that are being admitted or answered.
 *
 * <p>A request is counted before admission is checked. An instance that no longer accepts requests
 * and counts none therefore has none in progress. Safe for use by any thread.
 */
public final class ActiveRequests {
    private final AtomicInteger mCount = new AtomicInteger();

    /** Returns the number of active requests. */
    public int count() {
        return mCount.get();
    }

    void enter() {
        mCount.incrementAndGet();
    }

    void leave() {
        mCount.decrementAndGet();
    }
}
