package org.catkinproxy.route;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import org.catkinproxy.cache.PromptBlocks;
import org.catkinproxy.config.Priority;
import org.catkinproxy.id.PoolId;
import org.catkinproxy.id.RequestId;
import org.catkinproxy.id.Weights;
import org.catkinproxy.id.WorkspaceId;

/**
 * The properties of a request that routing depends on.
 *
 * <p>Immutable and thread-safe.
 *
 * @param id the request's id
 * @param workspace the workspace that sent the request
 * @param weights the weights that must serve the request
 * @param pool the pool whose engines may serve the request
 * @param priority the priority in the queue
 * @param blocks the prompt's block keys and size
 * @param maxTokens the maximum number of tokens to generate, positive
 * @param deadlineNanos the latest useful time of the first token, in nanoseconds on the monotonic
 *     clock that the dispatcher's events are timed with
 */
public record RouteRequest(
        RequestId id,
        WorkspaceId workspace,
        Weights weights,
        PoolId pool,
        Priority priority,
        PromptBlocks blocks,
        int maxTokens,
        long deadlineNanos) {
    /** Checks that no component is null and that {@code maxTokens} is positive. */
    public RouteRequest {
        checkNotNull(id, "id");
        checkNotNull(workspace, "workspace");
        checkNotNull(weights, "weights");
        checkNotNull(pool, "pool");
        checkNotNull(priority, "priority");
        checkNotNull(blocks, "blocks");
        checkArgument(maxTokens > 0, "maxTokens is not positive: %s", maxTokens);
    }
}
