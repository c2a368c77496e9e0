package org.catkinproxy.operator;

import org.catkinproxy.admin.EngineView;
import org.catkinproxy.admin.InstanceStatus;
import org.catkinproxy.admin.InstanceView;
import org.catkinproxy.config.Configuration;

import java.util.List;

/**
 * What this daemon knows of itself, of engines and of other instances.
 *
 * <p>Implementations answer from memory and are safe for use by any thread.
 */
public interface FleetView {
    /** Returns this daemon's state. */
    InstanceStatus status();

    /** Returns the configuration in force. */
    Configuration configuration();

    /** Returns all engines it knows. */
    List<EngineView> engines();

    /** Returns all instances it knows. */
    List<InstanceView> instances();
}
