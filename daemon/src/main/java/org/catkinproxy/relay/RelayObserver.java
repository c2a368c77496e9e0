package org.catkinproxy.relay;

import org.catkinproxy.error.CatkinException;
import org.catkinproxy.id.EngineId;
import org.catkinproxy.id.WorkspaceId;

import java.util.Optional;

/**
 * Observes how requests end, for metrics and the burn report.
 *
 * <p>Methods are called concurrently by the relay's worker threads. Implementations must be
 * thread-safe and must not block.
 */
public interface RelayObserver {
    /** An observer that does nothing. */
    RelayObserver NONE =
            new RelayObserver() {
                @Override
                public void onCompleted(CompletedRequest request) {}

                @Override
                public void onFailed(
                        WorkspaceId workspace, Optional<EngineId> engine, CatkinException error) {}
            };

    /** Called when a request has been answered completely. */
    void onCompleted(CompletedRequest request);

    /**
     * Called when a request has failed.
     *
     * @param engine the last engine that started a response, or empty if none did
     */
    void onFailed(WorkspaceId workspace, Optional<EngineId> engine, CatkinException error);

    /**
     * The figures of a request that was answered completely.
     *
     * @param workspace the workspace that sent the request
     * @param engine the engine that finished the response
     * @param firstTokenNanos the time from the request's arrival to its first token
     * @param promptTokens the size of the prompt in tokens
     * @param cachedTokens the number of prompt tokens that the first engine had cached
     * @param generatedTokens the number of tokens in the response
     */
    record CompletedRequest(
            WorkspaceId workspace,
            EngineId engine,
            long firstTokenNanos,
            int promptTokens,
            int cachedTokens,
            long generatedTokens) {}
}
