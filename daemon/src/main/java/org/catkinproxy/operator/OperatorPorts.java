package org.catkinproxy.operator;

import static com.google.common.base.Preconditions.checkNotNull;

import org.catkinproxy.admin.BurnMessage;

import java.util.function.Supplier;

/**
 * Everything the operator interface shows and changes.
 *
 * <p>Immutable; as safe for use by several threads as its parts, which all are.
 *
 * @param fleet this daemon, engines and instances
 * @param sheets accepted sheets
 * @param calls calls that may run once
 * @param stops planned stops
 * @param routes explanations of routes
 * @param burn the service-level figures
 * @param metrics the metrics in Prometheus text
 */
public record OperatorPorts(
        FleetView fleet,
        SheetAdmin sheets,
        CallAdmin calls,
        StopAdmin stops,
        RouteExplainer routes,
        Supplier<BurnMessage> burn,
        Supplier<String> metrics) {
    /** Checks that all parts are there. */
    public OperatorPorts {
        checkNotNull(fleet, "fleet");
        checkNotNull(sheets, "sheets");
        checkNotNull(calls, "calls");
        checkNotNull(stops, "stops");
        checkNotNull(routes, "routes");
        checkNotNull(burn, "burn");
        checkNotNull(metrics, "metrics");
    }
}
