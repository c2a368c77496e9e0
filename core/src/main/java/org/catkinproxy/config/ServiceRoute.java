package org.catkinproxy.config;

import static com.google.common.base.Preconditions.checkNotNull;

import org.catkinproxy.id.PoolId;
import org.catkinproxy.id.ServiceId;
import org.catkinproxy.id.WorkspaceId;

/**
 * A service without a model that a workspace may call, and the pool of instances that run it.
 *
 * <p>Immutable and thread-safe.
 *
 * @param workspace the workspace that may call the service
 * @param service the id of the service
 * @param pool the pool of instances that run the service
 */
public record ServiceRoute(WorkspaceId workspace, ServiceId service, PoolId pool) {
    /** Checks that no component is null. */
    public ServiceRoute {
        checkNotNull(workspace, "workspace");
        checkNotNull(service, "service");
        checkNotNull(pool, "pool");
    }
}
