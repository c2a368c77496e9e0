package org.catkinproxy.bench;

import org.catkinproxy.id.EngineId;
import org.catkinproxy.route.Dispatcher;
import org.catkinproxy.route.RouteAction;
import org.catkinproxy.route.RouteEvent;

import java.util.List;
import java.util.Map;

/** The product's dispatcher. Owned by the event loop. */
record DispatcherDecider(Dispatcher dispatcher) implements Decider {
    @Override
    public List<RouteAction> handle(long nowNanos, RouteEvent event) {
        return dispatcher.handle(nowNanos, event);
    }

    @Override
    public Map<EngineId, RouteEvent.InFlight> inFlight() {
        return dispatcher.inFlight();
    }
}
