package org.catkinproxy.bench;

import org.catkinproxy.cache.PromptBlocks;
import org.catkinproxy.config.Priority;

/**
 * What a caller wants, however often it has to send it. Immutable.
 *
 * @param number unique in a run
 * @param workspace the place of its workspace in {@link Deployment#WORKSPACE_SHARES}
 * @param priority how urgent it is
 * @param blocks the prompt
 * @param outputTokens the tokens that will be generated
 * @param caller who sends it: a caller keeps to one document
 * @param sentNanos when it was sent first
 */
record Call(
        long number,
        int workspace,
        Priority priority,
        PromptBlocks blocks,
        int outputTokens,
        long caller,
        long sentNanos) {}
