package org.catkinproxy.upstream;

import static com.google.common.base.Preconditions.checkNotNull;

import org.catkinproxy.id.EngineId;
import org.catkinproxy.id.PoolId;

/**
 * Where an engine is reached.
 *
 * <p>Immutable, and so safe for use by any thread.
 *
 * @param engine the engine
 * @param address IP number and port
 * @param pool its pool in the configuration
 * @param leaving whether it gets no new work; streams that run are still taken up again
 */
public record EngineEndpoint(EngineId engine, String address, PoolId pool, boolean leaving) {
    /** Checks that all parts are there. */
    public EngineEndpoint {
        checkNotNull(engine, "engine");
        checkNotNull(address, "address");
        checkNotNull(pool, "pool");
    }
}
