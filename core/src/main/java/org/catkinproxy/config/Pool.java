package org.catkinproxy.config;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import org.catkinproxy.id.PoolId;

/**
 * A pool of upstream instances that serve the same requests and receive the same orders.
 *
 * <p>Immutable and thread-safe.
 *
 * @param id the id of the pool
 * @param checksFencing whether its engines reject orders with a stale fencing number
 * @param maxConcurrentLoads the number of engines that may load weights concurrently, at least 1
 */
public record Pool(PoolId id, boolean checksFencing, int maxConcurrentLoads) {
    /** Checks that the id is not null and the limit is positive. */
    public Pool {
        checkNotNull(id, "id");
        checkArgument(
                maxConcurrentLoads >= 1, "maxConcurrentLoads is below 1: %s", maxConcurrentLoads);
    }
}
