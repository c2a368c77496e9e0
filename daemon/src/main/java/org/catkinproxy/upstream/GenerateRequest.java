package org.catkinproxy.upstream;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import org.catkinproxy.cache.PromptBlocks;
import org.catkinproxy.config.Priority;
import org.catkinproxy.id.RequestId;
import org.catkinproxy.id.Weights;
import org.catkinproxy.id.WorkspaceId;

/**
 * What an engine is asked to generate.
 *
 * <p>Immutable, and so safe for use by any thread.
 *
 * @param request the request
 * @param workspace the workspace that asks
 * @param weights the weights that must answer
 * @param priority how urgent it is
 * @param prompt the whole prompt
 * @param blocks the keys of the prompt's blocks
 * @param maxTokens the most tokens in the whole answer, those already delivered included
 */
public record GenerateRequest(
        RequestId request,
        WorkspaceId workspace,
        Weights weights,
        Priority priority,
        String prompt,
        PromptBlocks blocks,
        int maxTokens) {
    /** Checks that all parts are there. */
    public GenerateRequest {
        checkNotNull(request, "request");
        checkNotNull(workspace, "workspace");
        checkNotNull(weights, "weights");
        checkNotNull(priority, "priority");
        checkNotNull(prompt, "prompt");
        checkNotNull(blocks, "blocks");
        checkArgument(maxTokens > 0, "maxTokens is not positive: %s", maxTokens);
    }
}
