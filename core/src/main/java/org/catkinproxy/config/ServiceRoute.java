package org.catkinproxy.config;

import static com.google.common.base.Preconditions.checkNotNull;

import org.catkinproxy.id.PoolId;
import org.catkinproxy.id.ServiceId;
import org.catkinproxy.id.WorkspaceId;

/**
 * A plain service that a workspace may call, and the pool of instances that run it.
 *
 * <p>Immutable, and so safe for use by any thread.
 *
 * @param workspace the workspace that may call it
 * @param service the service
 * @param pool the instances that run it
 */
public record ServiceRoute(WorkspaceId workspace, ServiceId service, PoolId pool) {
    /** Checks that all parts are there. */
    public ServiceRoute {
        checkNotNull(workspace, "workspace");
        checkNotNull(service, "service");
        checkNotNull(pool, "pool");
    }
}
