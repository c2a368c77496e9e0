package org.catkinproxy.caller;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.time.Duration;

/**
 * The limits on callers' requests.
 *
 * <p>Immutable, and so safe for use by any thread.
 *
 * @param maxTokens the maximum number of tokens that a request may ask for
 * @param defaultDeadline the timeout for the first token of a completion, or for a whole service
 *     call, if the request has no deadline header
 * @param maxDeadline the longest timeout that a request may ask for
 * @param heartbeatInterval the interval of heartbeat comments in a streaming response
 * @param requestsPerSecondPerWorkspace the request rate limit for each workspace on this instance
 * @param maxConcurrentRequests the maximum number of completions in progress at the same time
 */
public record CallerLimits(
        int maxTokens,
        Duration defaultDeadline,
        Duration maxDeadline,
        Duration heartbeatInterval,
        int requestsPerSecondPerWorkspace,
        int maxConcurrentRequests) {
    /** Checks the ranges. */
    public CallerLimits {
        checkArgument(maxTokens > 0, "maxTokens: %s", maxTokens);
        checkNotNull(defaultDeadline, "defaultDeadline");
        checkNotNull(maxDeadline, "maxDeadline");
        checkNotNull(heartbeatInterval, "heartbeat");
        checkArgument(
                requestsPerSecondPerWorkspace > 0,
                "requestsPerSecond: %s",
                requestsPerSecondPerWorkspace);
        checkArgument(
                maxConcurrentRequests > 0, "maxConcurrentRequests: %s", maxConcurrentRequests);
    }
}
