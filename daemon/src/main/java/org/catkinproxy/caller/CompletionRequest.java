package org.catkinproxy.caller;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * A request for a completion, as far as the router reads it.
 *
 * <p>Immutable, and so safe for use by any thread.
 *
 * @param shape which of the two calls it came by
 * @param model the model's name
 * @param prompt the prompt as one text
 * @param maxTokens the most tokens wanted
 * @param stream whether tokens are wanted as they come
 * @param includeUsage whether a stream is to end with a usage chunk
 * @param user the caller's {@code user} field, empty if there is none
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
