package org.catkinproxy.daemon;

import org.catkinproxy.admin.EngineView;
import org.catkinproxy.id.Weights;
import org.catkinproxy.route.EngineReport;
import org.catkinproxy.upstream.EngineEndpoint;
import org.catkinproxy.upstream.EngineFleet;
import org.catkinproxy.upstream.SeenReport;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/** Shows operators the engines that this instance watches. Stateless; thread-safe. */
final class EngineViews {
    private static final String LEAVING = "leaving";

    private EngineViews() {}

    static List<EngineView> of(EngineFleet fleet) {
        return fleet.endpoints().stream()
                .map(e -> view(e, fleet.lastReport(e.engine())))
                .sorted((a, b) -> a.engine().compareTo(b.engine()))
                .toList();
    }

    private static EngineView view(EngineEndpoint endpoint, Optional<SeenReport> seen) {
        if (seen.isEmpty()) {
            return new EngineView(
                    endpoint.engine().value(),
                    endpoint.pool().value(),
                    endpoint.leaving() ? LEAVING : "unknown",
                    "",
                    0,
                    0,
                    0,
                    0,
                    List.of());
        }
        EngineReport report = seen.get().report();
        long age = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - seen.get().seenNanos());
        return new EngineView(
                endpoint.engine().value(),
                endpoint.pool().value(),
                state(endpoint, seen.get()),
                report.incarnation().value(),
                report.running(),
                report.queued(),
                report.slots(),
                age + report.ageMillis(),
                report.weights().stream().map(Weights::toString).sorted().toList());
    }

    private static String state(EngineEndpoint endpoint, SeenReport seen) {
        if (!seen.answering()) {
            return "silent";
        }
        return endpoint.leaving() ? LEAVING : "live";
    }
}
