package org.catkinproxy.route;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * The limits and the policy of a dispatcher.
 *
 * <p>Immutable and thread-safe.
 *
 * @param policy the policy that ranks engines
 * @param maxQueued the maximum number of requests queued in this router, at least 1
 */
public record DispatchSettings(RoutingPolicy policy, int maxQueued) {
    /** Checks the components. */
    public DispatchSettings {
        checkNotNull(policy, "policy");
        checkArgument(maxQueued >= 1, "maxQueued is below 1: %s", maxQueued);
    }
}
