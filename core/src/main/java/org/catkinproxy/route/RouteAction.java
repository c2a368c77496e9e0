package org.catkinproxy.route;

import org.catkinproxy.error.ErrorCode;
import org.catkinproxy.id.EngineId;
import org.catkinproxy.id.Incarnation;
import org.catkinproxy.id.RequestId;

/** An action that {@link Dispatcher} asks its owner to perform. Immutable and thread-safe. */
public sealed interface RouteAction {
    /**
     * Sends the request to the engine.
     *
     * @param incarnation the incarnation of the engine that the decision was made for
     * @param expectedCachedTokens the number of prompt tokens that the engine's cache is expected
     *     to hold
     * @param expectedFirstTokenNanos the expected time of the first token, in nanoseconds on the
     *     monotonic clock that the events are timed with
     */
    record Dispatch(
            RequestId request,
            EngineId engine,
            Incarnation incarnation,
            int expectedCachedTokens,
            long expectedFirstTokenNanos)
            implements RouteAction {}

    /**
     * Refuses the request, which was sent to no engine since it last arrived.
     *
     * @param retryAfterMillis the time after which the caller may retry, in milliseconds
     */
    record Refuse(RequestId request, ErrorCode code, long retryAfterMillis)
            implements RouteAction {}

    /** Fetches a snapshot of the engine's cache, because cache events were lost. */
    record Resync(EngineId engine, Incarnation incarnation) implements RouteAction {}
}
