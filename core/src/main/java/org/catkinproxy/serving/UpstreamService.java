package org.catkinproxy.serving;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import org.catkinproxy.id.ServiceId;

import java.util.Optional;

/**
 * A service that receives the requests of routes.
 *
 * <p>Immutable and thread-safe.
 *
 * @param id the service's id
 * @param maxConnectionsPerUpstream the maximum number of connections that each upstream of the
 *     service accepts from all callers together
 * @param engineLimits the capacity of each model engine, empty for a service without engines
 */
public record UpstreamService(
        ServiceId id, int maxConnectionsPerUpstream, Optional<EngineLimits> engineLimits) {
    /** Validates the components. */
    public UpstreamService {
        checkNotNull(id, "id");
        checkNotNull(engineLimits, "engineLimits");
        checkArgument(
                maxConnectionsPerUpstream > 0,
                "maxConnectionsPerUpstream is not positive: %s",
                maxConnectionsPerUpstream);
    }
}
