package org.catkinproxy.caller;

import org.catkinproxy.calls.ServiceInstance;
import org.catkinproxy.id.PoolId;

import java.util.List;

/**
 * Looks up the instances of a pool that run services.
 *
 * <p>Implementations are safe for use by any thread.
 */
public interface ServicePoolDirectory {
    /** Returns the pool's usable instances, in order of preference. */
    List<ServiceInstance> instances(PoolId pool);
}
