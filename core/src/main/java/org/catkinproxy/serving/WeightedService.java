package org.catkinproxy.serving;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import org.catkinproxy.id.ServiceId;

/**
 * One service that a route may use, and its share of the route's requests.
 *
 * <p>Immutable, and so safe for use by any thread.
 *
 * @param service the service
 * @param weight its share, relative to the other services of the route
 */
public record WeightedService(ServiceId service, int weight) {
    /** Checks the weight. */
    public WeightedService {
        checkNotNull(service, "service");
        checkArgument(weight >= 0, "weight is negative: %s", weight);
    }
}
