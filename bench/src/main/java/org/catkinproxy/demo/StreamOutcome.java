package org.catkinproxy.demo;

import java.time.Duration;

/**
 * What a caller received of one streamed request, over all its connections.
 *
 * <p>Immutable, and so safe for use by any thread.
 *
 * @param status the HTTP status of the last answer, 0 if there was none
 * @param engine the engine that the first answer named
 * @param cachedTokens how many prompt tokens came from the cache
 * @param firstToken the time to the first token, zero if there was none
 * @param text the text of all tokens
 * @param isDone whether the stream ended as complete
 * @param connections how many connections it took
 * @param error the code of the last error, empty if there was none
 * @param refusal the outcome that the last error stated, empty if there was none
 */
public record StreamOutcome(
        int status,
        String engine,
        int cachedTokens,
        Duration firstToken,
        String text,
        boolean isDone,
        int connections,
        String error,
        String refusal) {}
