package org.catkinproxy.serving;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.net.HostAndPort;

/**
 * A store outside the engines in which they save the KV cache of prompts for each other.
 *
 * <p>Immutable and thread-safe.
 *
 * @param address the address at which engines reach the store
 * @param maxEventSubscribers the maximum number of concurrent long polls for the store's events
 */
public record PromptStore(HostAndPort address, int maxEventSubscribers) {
    /** Validates the components. */
    public PromptStore {
        checkNotNull(address, "address");
        checkArgument(
                maxEventSubscribers > 0,
                "maxEventSubscribers is not positive: %s",
                maxEventSubscribers);
    }
}
