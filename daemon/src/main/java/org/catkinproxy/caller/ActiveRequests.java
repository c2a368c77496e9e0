package org.catkinproxy.caller;

import java.util.concurrent.atomic.AtomicInteger;

/**
 * Counts the requests that are being taken in or answered.
 *
 * <p>A request is counted before it is asked whether the instance still takes requests, so an
 * instance that has closed and counts none has none. Safe for use by any thread.
 */
public final class ActiveRequests {
    private final AtomicInteger mCount = new AtomicInteger();

    /** Returns how many there are. */
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
