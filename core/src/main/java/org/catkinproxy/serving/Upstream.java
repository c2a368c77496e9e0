package org.catkinproxy.serving;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.net.HostAndPort;

import org.catkinproxy.id.DataCentreId;
import org.catkinproxy.id.Incarnation;
import org.catkinproxy.id.InstanceId;
import org.catkinproxy.id.ModelId;
import org.catkinproxy.id.ServiceId;

import java.util.Map;

/**
 * One process of a service, as listed in the platform's registry.
 *
 * <p>Immutable and thread-safe.
 *
 * @param id the instance id, which may stay the same after a restart
 * @param incarnation the start of the process, which changes with each restart
 * @param listingVersion what the upstream counts in its entry
 * @param service the service that the upstream belongs to
 * @param host the host part of the address
 * @param port the port of the address
 * @param dataCentre the data centre in which the upstream runs
 * @param slots the number of requests that the upstream runs concurrently
 * @param draining whether the upstream accepts no new requests
 * @param weightsVersions the version of each model's weights that the upstream reported
 */
public record Upstream(
        InstanceId id,
        Incarnation incarnation,
        ListingVersion listingVersion,
        ServiceId service,
        String host,
        int port,
        DataCentreId dataCentre,
        int slots,
        boolean draining,
        Map<ModelId, Integer> weightsVersions) {
    /** Validates the components. */
    public Upstream {
        checkNotNull(id, "id");
        checkNotNull(incarnation, "incarnation");
        checkNotNull(listingVersion, "listingVersion");
        checkNotNull(service, "service");
        checkNotNull(host, "host");
        checkArgument(port > 0, "port is not positive: %s", port);
        checkArgument(slots > 0, "slots is not positive: %s", slots);
        weightsVersions = Map.copyOf(weightsVersions);
    }

    /** Returns the host and port at which the upstream accepts connections. */
    public HostAndPort address() {
        return HostAndPort.fromParts(host, port);
    }

    /** Returns this upstream as one that drains. */
    public Upstream asDraining() {
        return draining
                ? this
                : new Upstream(
                        id,
                        incarnation,
                        listingVersion,
                        service,
                        host,
                        port,
                        dataCentre,
                        slots,
                        true,
                        weightsVersions);
    }

    /** Returns whether {@code other} has the same id and incarnation. */
    public boolean isSameIncarnation(Upstream other) {
        return id.equals(other.id) && incarnation.equals(other.incarnation);
    }
}
