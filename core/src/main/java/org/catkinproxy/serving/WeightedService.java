package org.catkinproxy.serving;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import org.catkinproxy.id.ServiceId;

/**
 * One service of a route and its share of the route's requests.
 *
 * <p>Immutable and thread-safe.
 *
 * @param service the service's id
 * @param weight the share, relative to the weights of the route's other services
 */
public record WeightedService(ServiceId service, int weight) {
    /** Validates the components. */
    public WeightedService {
        checkNotNull(service, "service");
        checkArgument(weight >= 0, "weight is negative: %s", weight);
    }
}
