package org.catkinproxy.stream;

import org.catkinproxy.error.CatkinException;
import org.catkinproxy.id.EngineId;
import org.catkinproxy.id.Incarnation;

import java.util.List;

/** An action that a {@link StreamStateMachine} requests. All actions are immutable. */
public sealed interface StreamAction {
    /** Asks the dispatcher for an engine other than the excluded ones. */
    record Route(List<EngineId> excluded) implements StreamAction {}

    /**
     * Starts the generation at an engine.
     *
     * @param deliveredTokens the tokens that the caller already has, sent along with the prompt
     */
    record Open(int connectionId, EngineId engine, List<String> deliveredTokens)
            implements StreamAction {}

    /**
     * Resumes the generation at the same engine on a new connection, after {@code afterSequence}.
     */
    record Resume(int connectionId, EngineId engine, long afterSequence) implements StreamAction {}

    /** Closes a connection, whose later events are ignored. */
    record Close(int connectionId) implements StreamAction {}

    /** Tells an engine to cancel its generation. */
    record Cancel(EngineId engine) implements StreamAction {}

    /**
     * Tells the dispatcher that the request does not use the engine any more.
     *
     * @param complete whether the engine sent the complete response
     * @param reachable whether the engine could be reached
     */
    record Release(EngineId engine, boolean complete, boolean reachable) implements StreamAction {}

    /** Tells the caller and the dispatcher that an engine has started to respond. */
    record Begin(EngineId engine, Incarnation incarnation, int cachedTokens)
            implements StreamAction {}

    /** Sends a token to the caller. */
    record Deliver(EngineId engine, long sequence, String text) implements StreamAction {}

    /** Tells the caller that the response is complete. */
    record Complete(long tokenCount, String finishReason) implements StreamAction {}

    /** Tells the caller that the response can not be completed. */
    record Fail(CatkinException error) implements StreamAction {}
}
