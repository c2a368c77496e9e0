package org.catkinproxy.quarantine;

import static com.google.common.base.Preconditions.checkNotNull;

import org.catkinproxy.id.Incarnation;
import org.catkinproxy.id.InstanceId;
import org.catkinproxy.serving.Upstream;

/**
 * One start of an engine, which can crash only once.
 *
 * <p>Immutable and thread-safe.
 *
 * @param engine the id of the engine, which may stay the same after a restart
 * @param incarnation the start of the process
 */
public record EngineStart(InstanceId engine, Incarnation incarnation) {
    /** Checks that no component is null. */
    public EngineStart {
        checkNotNull(engine, "engine");
        checkNotNull(incarnation, "incarnation");
    }

    /** Returns the current start of {@code engine}. */
    public static EngineStart of(Upstream engine) {
        return new EngineStart(engine.id(), engine.incarnation());
    }
}
