package org.catkinproxy.peer;

import org.catkinproxy.id.EngineId;
import org.catkinproxy.route.RouteEvent;

import java.util.List;
import java.util.Map;

/**
 * What the router gives to the protocol between daemons, and takes from it.
 *
 * <p>Implementations are safe for use by any thread, and do not block.
 */
public interface PeerHooks {
    /** A router that gives and takes nothing. */
    PeerHooks NONE = new PeerHooks() {};

    /** Returns what this daemon has sent to engines and not yet seen answered. */
    default Map<EngineId, RouteEvent.InFlight> inFlight() {
        return Map.of();
    }

    /** Takes what a peer has sent to engines and not yet seen answered. */
    default void peerLoad(RouteEvent.PeerLoad load) {}

    /** Returns how busy this daemon is, in thousandths of what it can do. */
    default int loadPermille() {
        return 0;
    }

    /** Returns the blocks known to be cached, at most {@code limit} an engine. */
    default List<RouteEvent.CacheSnapshot> cache(List<EngineId> engines, int limit) {
        return List.of();
    }
}
