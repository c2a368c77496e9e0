package org.catkinproxy.calls;

import org.catkinproxy.id.ServiceId;

import java.util.List;

/** Where services run now. Implementations are safe for use by any thread. */
public interface ServiceDirectory {
    /** Returns the live instances of a service, in any order. */
    List<ServiceInstance> instances(ServiceId service);

    /** Tells whether one workspace alone calls these instances, so that their keys are its own. */
    boolean hasOneWorkspace(ServiceId service);
}
