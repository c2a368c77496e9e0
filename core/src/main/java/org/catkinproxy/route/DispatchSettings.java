package org.catkinproxy.route;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * The limits and the policy of a dispatcher.
 *
 * <p>Immutable, and so safe for use by any thread.
 *
 * @param policy how an engine is chosen
 * @param maxQueued how many requests may wait in this router, at least 1
 */
public record DispatchSettings(RoutingPolicy policy, int maxQueued) {
    /** Checks the limits. */
    public DispatchSettings {
        checkNotNull(policy, "policy");
        checkArgument(maxQueued >= 1, "maxQueued is below 1: %s", maxQueued);
    }
}
