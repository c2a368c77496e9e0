package org.catkinproxy.route;

import org.catkinproxy.id.EngineId;

/**
 * An attempt to serve a request at one engine, which has not ended yet.
 *
 * <p>Owned by the dispatcher's task; not thread-safe.
 */
final class Attempt {
    final RouteRequest mRequest;
    final EngineId mEngine;
    final long mSentNanos;

    /** The prompt tokens that the engine still has to compute; 0 after the first token. */
    long mUncachedTokens;

    /** When the first token was received, or -1. */
    long mFirstTokenNanos = -1;

    Attempt(RouteRequest request, EngineId engine, long sentNanos, long uncachedTokens) {
        mRequest = request;
        mEngine = engine;
        mSentNanos = sentNanos;
        mUncachedTokens = uncachedTokens;
    }
}
