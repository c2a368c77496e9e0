package org.catkinproxy.caller;

import org.catkinproxy.id.EngineId;
import org.catkinproxy.id.RequestId;

import io.jooby.Context;

/**
 * Sets the response headers that describe the source of a completion. Stateless; safe for use by
 * any thread.
 */
final class CompletionHeaders {
    static final String ENGINE = "Catkin-Engine";
    static final String CACHED_TOKENS = "Catkin-Cached-Tokens";
    static final String REQUEST = "Catkin-Request";

    private CompletionHeaders() {}

    static void set(Context ctx, RequestId requestId, EngineId engineId, int cachedTokens) {
        ctx.setResponseHeader(REQUEST, requestId.value());
        ctx.setResponseHeader(ENGINE, engineId.value());
        ctx.setResponseHeader(CACHED_TOKENS, Integer.toString(cachedTokens));
    }
}
