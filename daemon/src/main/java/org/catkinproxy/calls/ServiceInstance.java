package org.catkinproxy.calls;

import static com.google.common.base.Preconditions.checkNotNull;

import org.catkinproxy.id.InstanceId;

/**
 * An instance that runs a service.
 *
 * <p>Immutable, and so safe for use by any thread.
 *
 * @param id the id of the instance
 * @param address the IP address and port of the instance
 */
public record ServiceInstance(InstanceId id, String address) {
    /** Checks that no component is null. */
    public ServiceInstance {
        checkNotNull(id, "id");
        checkNotNull(address, "address");
    }
}
