package org.catkinproxy.gateway;

import org.catkinproxy.id.InstanceId;
import org.catkinproxy.serving.Upstream;
import org.catkinproxy.serving.UpstreamStart;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.OptionalDouble;

/**
 * Watches the limits that upstreams in need name in their responses.
 *
 * <p>Used by the event loop only.
 */
final class LimitGuard {
    private final Gateway mGateway;
    private final InstanceId mSelf;
    private final Map<UpstreamStart, Double> mLimits = new HashMap<>();

    LimitGuard(Gateway gateway, InstanceId self) {
        mGateway = gateway;
        mSelf = self;
    }

    /** Handles the limit of a response, empty if the upstream named none. */
    void onResponse(Upstream upstream, OptionalDouble limit) {
        UpstreamStart start = UpstreamStart.of(upstream);
        Double known = mLimits.get(start);
        Double named = limit.isPresent() ? limit.getAsDouble() : null;
        if (!Objects.equals(known, named)) {
            mLimits.put(start, named);
            mGateway.log()
                    .record(
                            GatewayEvent.UPSTREAM_LIMITED,
                            "upstream",
                            upstream.id(),
                            "per_second",
                            named == null ? "none" : named,
                            "reporter",
                            mSelf);
        }
    }
}
