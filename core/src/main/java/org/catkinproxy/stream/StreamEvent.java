package org.catkinproxy.stream;

import org.catkinproxy.error.ErrorCode;
import org.catkinproxy.id.EngineId;
import org.catkinproxy.id.Incarnation;
import org.catkinproxy.id.RequestId;
import org.catkinproxy.id.Weights;

/**
 * An event that a {@link StreamStateMachine} handles. All events are immutable.
 *
 * <p>{@code connectionId} is the number of the connection on which an event arrived; events of
 * connections other than the current one are ignored.
 */
public sealed interface StreamEvent {
    /** The dispatcher chose an engine for the request. */
    record Routed(EngineId engine) implements StreamEvent {}

    /** The dispatcher found no engine for the request. */
    record RouteRefused(ErrorCode code) implements StreamEvent {}

    /** The engine has started to respond. */
    record Started(
            int connectionId,
            RequestId request,
            Incarnation incarnation,
            Weights weights,
            int cachedTokens)
            implements StreamEvent {}

    /** The engine sent a token. */
    record Token(int connectionId, RequestId request, long sequence, String text)
            implements StreamEvent {}

    /** The engine is alive but has no token to send. */
    record Heartbeat(int connectionId, RequestId request) implements StreamEvent {}

    /** The engine reported the end of the response, after {@code tokenCount} tokens in all. */
    record Ended(int connectionId, RequestId request, long tokenCount, String finishReason)
            implements StreamEvent {}

    /** The connection ended without an {@link Ended} event. */
    record ConnectionFailed(int connectionId, ConnectionFailure failure) implements StreamEvent {}

    /** The caller closed its connection. */
    record CallerDisconnected() implements StreamEvent {}
}
