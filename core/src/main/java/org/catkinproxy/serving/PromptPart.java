package org.catkinproxy.serving;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * One part of a prompt, as the caller names it.
 *
 * <p>Immutable, and so safe for use by any thread.
 *
 * @param id the part; equal ids after equal parts are equal text
 * @param tokens its length in tokens
 */
public record PromptPart(long id, int tokens) {
    /** Checks the length. */
    public PromptPart {
        checkArgument(tokens >= 0, "tokens is negative: %s", tokens);
    }
}
