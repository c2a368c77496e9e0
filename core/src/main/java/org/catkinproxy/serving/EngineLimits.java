package org.catkinproxy.serving;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The capacity and the abilities of each model engine of a service.
 *
 * <p>Immutable and thread-safe.
 *
 * @param slots the number of requests that an engine runs concurrently
 * @param cacheCapacityTokens the tokens that fit into the KV cache of an engine, for running
 *     requests and for cached prompts
 * @param fetchNanosPerToken the time to copy the KV cache of one token from another engine, in ns
 * @param maxEventSubscribers the maximum number of concurrent long polls for the events of an
 *     engine's cache
 * @param movesRuns whether an engine stops a run on demand and hands over its memory
 */
public record EngineLimits(
        int slots,
        long cacheCapacityTokens,
        double fetchNanosPerToken,
        int maxEventSubscribers,
        boolean movesRuns) {
    /** Validates the components. */
    public EngineLimits {
        checkArgument(slots > 0, "slots is not positive: %s", slots);
        checkArgument(
                cacheCapacityTokens > 0,
                "cacheCapacityTokens is not positive: %s",
                cacheCapacityTokens);
        checkArgument(
                maxEventSubscribers > 0,
                "maxEventSubscribers is not positive: %s",
                maxEventSubscribers);
        checkArgument(
                fetchNanosPerToken >= 0, "fetchNanosPerToken is negative: %s", fetchNanosPerToken);
    }
}
