package org.catkinproxy.serving;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import org.catkinproxy.id.ServiceId;

import java.util.Optional;

/**
 * A service that routes lead to.
 *
 * <p>Immutable, and so safe for use by any thread.
 *
 * @param id the service
 * @param maxConnections the connections that each of its upstreams takes from all callers together
 * @param engine what its engines hold, empty for a plain service
 */
public record UpstreamService(ServiceId id, int maxConnections, Optional<EngineLimits> engine) {
    /** Checks the figures. */
    public UpstreamService {
        checkNotNull(id, "id");
        checkNotNull(engine, "engine");
        checkArgument(maxConnections > 0, "maxConnections: %s", maxConnections);
    }
}
