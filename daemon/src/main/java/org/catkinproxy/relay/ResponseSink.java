package org.catkinproxy.relay;

import org.catkinproxy.error.CatkinException;
import org.catkinproxy.id.EngineId;
import org.catkinproxy.id.Incarnation;

/**
 * Receives a completion from the relay and sends it to the caller.
 *
 * <p>Methods are called by one thread at a time: {@link #begin} once for each engine that takes
 * part, then {@link #deliver} for its tokens, and finally exactly one of {@link #complete} and
 * {@link #fail}, unless the caller disconnects or the instance stops before. Implementations must
 * not block.
 */
public interface ResponseSink {
    /** Called when an engine starts or continues the response. */
    void begin(EngineId engine, Incarnation incarnation, int cachedTokens);

    /** Delivers the next token. Sequence numbers start at 1 and have no gaps. */
    void deliver(long sequence, String text);

    /**
     * Called when the response is complete.
     *
     * @param tokenCount the number of tokens in the response
     * @param finishReason the engine's finish reason
     */
    void complete(long tokenCount, String finishReason);

    /** Called when the response cannot be completed. */
    void fail(CatkinException error);

    /**
     * Called when this instance stops. The sink must send nothing more, so that the caller resumes
     * on another instance.
     */
    void abandon();
}
