package org.catkinproxy.daemon;

import org.catkinproxy.observe.Metric;
import org.catkinproxy.observe.Metrics;
import org.catkinproxy.operator.FleetView;

/** Adds the gauges of an instance's state to its metrics. Stateless; thread-safe. */
final class FleetGauges {
    private FleetGauges() {}

    static void add(Metrics metrics, FleetView fleet) {
        metrics.gauge(Metric.OPEN_REQUESTS, () -> fleet.status().openRequests());
        metrics.gauge(Metric.REVISION, () -> fleet.status().revision());
        metrics.gauge(Metric.READY, () -> fleet.status().ready() ? 1 : 0);
        metrics.gauge(Metric.ENGINES, () -> fleet.status().engines());
        metrics.gauge(Metric.PEERS, () -> fleet.status().peers());
    }
}
