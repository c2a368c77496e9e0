package org.catkinproxy.calls;

import org.catkinproxy.id.ServiceId;

import java.util.List;

/** Looks up the live instances of services. Implementations are safe for use by any thread. */
public interface ServiceDirectory {
    /** Returns the live instances of a service, in any order. */
    List<ServiceInstance> instances(ServiceId service);

    /**
     * Returns whether only one workspace calls the service's instances, so that all idempotency
     * keys that they know belong to that workspace.
     */
    boolean hasOneWorkspace(ServiceId service);
}
