package org.catkinproxy.orders;

import static com.google.common.base.Preconditions.checkNotNull;

import org.catkinproxy.id.EngineId;

/**
 * An engine that may be given orders.
 *
 * <p>Immutable, and so safe for use by any thread.
 *
 * @param engine the engine
 * @param address its IP number and port
 */
public record OrderTarget(EngineId engine, String address) {
    /** Checks that both parts are there. */
    public OrderTarget {
        checkNotNull(engine, "engine");
        checkNotNull(address, "address");
    }
}
