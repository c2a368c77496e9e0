package org.catkinproxy.caller;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * The fields of a completion request that the proxy uses.
 *
 * <p>Immutable, and so safe for use by any thread.
 *
 * @param shape the endpoint's format, chat or text
 * @param model the model's name
 * @param prompt the prompt as a single string
 * @param maxTokens the maximum number of tokens to generate
 * @param stream whether to stream tokens as they are generated
 * @param includeUsage whether a streaming response ends with a usage chunk
 * @param user the {@code user} field, or an empty string if there is none
 */
record CompletionRequest(
        CompletionShape shape,
        String model,
        String prompt,
        int maxTokens,
        boolean stream,
        boolean includeUsage,
        String user) {
    CompletionRequest {
        checkNotNull(shape, "shape");
        checkNotNull(model, "model");
        checkNotNull(prompt, "prompt");
        checkNotNull(user, "user");
    }
}
