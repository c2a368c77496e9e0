package org.catkinproxy.bench;

import org.catkinproxy.id.EngineId;
import org.catkinproxy.route.RouteAction;
import org.catkinproxy.route.RouteEvent;

import java.util.List;
import java.util.Map;

/** The decisions of one router. Owned by the event loop. */
interface Decider {
    /** Takes an event in and returns what is to be done. */
    List<RouteAction> handle(long nowNanos, RouteEvent event);

    /** Returns what peers are told, empty where they are told nothing. */
    default Map<EngineId, RouteEvent.InFlight> inFlight() {
        return Map.of();
    }
}
