package org.catkinproxy.route;

import java.util.Arrays;

/**
 * The prefill time that queued requests reserve at engines during one pass over the queues.
 *
 * <p>A request that stays queued for its best engine reserves time there, so that the requests
 * after it count this time and do not all wait for the same engine. Not thread-safe.
 */
final class EngineReservations {
    private long[] mNanos = new long[0];

    long reservedNanos(EngineState engine) {
        return engine.number() < mNanos.length ? mNanos[engine.number()] : 0;
    }

    void add(EngineState engine, long nanos) {
        if (engine.number() >= mNanos.length) {
            mNanos = Arrays.copyOf(mNanos, 2 * engine.number() + 1);
        }
        mNanos[engine.number()] += nanos;
    }

    void clear() {
        Arrays.fill(mNanos, 0);
    }
}
