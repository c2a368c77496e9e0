package org.catkinproxy.caller;

import com.fasterxml.jackson.databind.node.ObjectNode;

import org.catkinproxy.cache.PromptBlocks;
import org.catkinproxy.id.RequestId;
import org.catkinproxy.id.Weights;
import org.catkinproxy.id.WorkspaceId;
import org.catkinproxy.stream.ResumeToken;

import java.util.Optional;

/**
 * The details of a completion request that its response sink needs.
 *
 * <p>Immutable, and so safe for use by any thread.
 *
 * @param request the id of the request
 * @param workspace the workspace that sent the request
 * @param weights the weights that generate the completion
 * @param completion the parsed request body
 * @param bodyDigest the SHA-256 digest of the request body, in hexadecimal
 * @param createdSeconds the time of the request, in seconds since the epoch
 * @param promptBlocks the keys of the prompt's blocks, and the prompt's size in tokens
 * @param resumeToken the position at which to resume, if the caller already has part of the
 *     response
 */
record CompletionContext(
        RequestId request,
        WorkspaceId workspace,
        Weights weights,
        CompletionRequest completion,
        String bodyDigest,
        long createdSeconds,
        PromptBlocks promptBlocks,
        Optional<ResumeToken> resumeToken) {

    ObjectNode newChunk() {
        return completion.shape().newChunk(request.value(), completion.model(), createdSeconds);
    }

    ObjectNode newResponse() {
        return completion.shape().newResponse(request.value(), completion.model(), createdSeconds);
    }

    /** Adds the single choice of a response or chunk; {@code finishReason} may be null. */
    static ObjectNode addChoice(ObjectNode root, String finishReason) {
        return root.putArray("choices")
                .addObject()
                .put("index", 0)
                .putNull("logprobs")
                .put("finish_reason", finishReason);
    }

    void addUsage(ObjectNode root, long completionTokens, int cachedTokens) {
        root.putObject("usage")
                .put("prompt_tokens", promptBlocks.promptTokens())
                .put("completion_tokens", completionTokens)
                .put("total_tokens", promptBlocks.promptTokens() + completionTokens)
                .putObject("prompt_tokens_details")
                .put("cached_tokens", cachedTokens);
    }
}
