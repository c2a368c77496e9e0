package org.catkinproxy.route;

import org.catkinproxy.id.EngineId;

/**
 * One request given to an engine and not yet over.
 *
 * <p>Owned by the dispatcher's task; not safe for use by several threads.
 */
final class Attempt {
    final RouteRequest mRequest;
    final EngineId mEngine;
    final long mSentNanos;

    /** Prompt tokens that the engine still has to compute; 0 once the first token came. */
    long mUncachedTokens;

    /** When the first token came, or -1. */
    long mFirstTokenNanos = -1;

    Attempt(RouteRequest request, EngineId engine, long sentNanos, long uncachedTokens) {
        mRequest = request;
        mEngine = engine;
        mSentNanos = sentNanos;
        mUncachedTokens = uncachedTokens;
    }
}
