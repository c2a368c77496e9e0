package org.catkinproxy.calls;

import static com.google.common.base.Preconditions.checkNotNull;

import org.catkinproxy.id.InstanceId;

/**
 * An instance that runs a service.
 *
 * <p>Immutable, and so safe for use by any thread.
 *
 * @param id the instance
 * @param address its IP number and port
 */
public record ServiceInstance(InstanceId id, String address) {
    /** Checks that both parts are there. */
    public ServiceInstance {
        checkNotNull(id, "id");
        checkNotNull(address, "address");
    }
}
