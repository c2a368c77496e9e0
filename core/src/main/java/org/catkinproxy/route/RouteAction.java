package org.catkinproxy.route;

import org.catkinproxy.error.ErrorCode;
import org.catkinproxy.id.EngineId;
import org.catkinproxy.id.Incarnation;
import org.catkinproxy.id.RequestId;

/** What the dispatcher asks for. All actions are immutable. */
public sealed interface RouteAction {
    /**
     * Send the request to the engine.
     *
     * @param expectedFirstTokenNanos when the first token is expected, on the clock of the events
     */
    record Dispatch(
            RequestId request,
            EngineId engine,
            Incarnation incarnation,
            int expectedCachedTokens,
            long expectedFirstTokenNanos)
            implements RouteAction {}

    /** Refuse the request; it was given to no engine by this dispatch. */
    record Refuse(RequestId request, ErrorCode code, long retryAfterMillis)
            implements RouteAction {}

    /** Fetch a snapshot of the engine's cache; events were lost. */
    record Resync(EngineId engine, Incarnation incarnation) implements RouteAction {}
}
