package org.catkinproxy.config;

import static com.google.common.base.Preconditions.checkNotNull;

import org.catkinproxy.id.InstanceId;
import org.catkinproxy.id.PoolId;

/**
 * An upstream instance that belongs to a pool.
 *
 * <p>Immutable and thread-safe.
 *
 * @param instance the id of the instance in the platform's instance list
 * @param pool the pool
 * @param leaving whether the configuration requests a planned stop of the instance
 */
public record PoolMember(InstanceId instance, PoolId pool, boolean leaving) {
    /** Checks that no component is null. */
    public PoolMember {
        checkNotNull(instance, "instance");
        checkNotNull(pool, "pool");
    }
}
