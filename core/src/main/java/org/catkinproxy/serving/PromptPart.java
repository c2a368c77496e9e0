package org.catkinproxy.serving;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * One part of a prompt, as the caller identifies it.
 *
 * <p>Immutable and thread-safe.
 *
 * @param id the part's id; equal ids after equal preceding parts mean equal text
 * @param tokens the length of the part in tokens
 */
public record PromptPart(long id, int tokens) {
    /** Validates the length. */
    public PromptPart {
        checkArgument(tokens >= 0, "tokens is negative: %s", tokens);
    }
}
