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
 * Everything about a request that decides where it goes.
 *
 * <p>Immutable, and so safe for use by any thread.
 *
 * @param id the request
 * @param workspace the workspace that asks
 * @param weights the weights that must answer
 * @param pool the pool whose engines may answer
 * @param priority how urgent it is
 * @param blocks the prompt's block keys and size
 * @param maxTokens the most tokens that will be generated
 * @param deadlineNanos when the first token is of no more use, on the clock of the events
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
    /** Checks that all parts are there. */
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
