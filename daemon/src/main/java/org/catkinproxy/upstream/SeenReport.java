package org.catkinproxy.upstream;

import org.catkinproxy.route.EngineReport;

/**
 * A load report and when it came.
 *
 * <p>Immutable, and so safe for use by any thread.
 *
 * @param report the report
 * @param seenNanos when it came, on the monotonic clock
 * @param answering whether the engine has answered since
 */
public record SeenReport(EngineReport report, long seenNanos, boolean answering) {
    SeenReport asSilent() {
        return new SeenReport(report, seenNanos, false);
    }
}
