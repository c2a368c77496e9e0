package org.catkinproxy.member;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import org.catkinproxy.id.DataCentreId;
import org.catkinproxy.id.InstanceId;

/**
 * The static properties of an instance in the platform's instance list.
 *
 * <p>Immutable and thread-safe.
 *
 * @param id the id of the instance
 * @param kind the kind of process that the instance runs
 * @param address the IP address and port for requests
 * @param peerAddress the IP address and port for other entry instances, empty for other kinds
 * @param dataCentre the data centre of the instance
 * @param weight the capacity relative to other instances, 1 for a regular one
 */
public record InstanceInfo(
        InstanceId id,
        InstanceKind kind,
        String address,
        String peerAddress,
        DataCentreId dataCentre,
        int weight) {
    /** Checks that no component is null and the weight is positive. */
    public InstanceInfo {
        checkNotNull(id, "id");
        checkNotNull(kind, "kind");
        checkNotNull(address, "address");
        checkNotNull(peerAddress, "peerAddress");
        checkNotNull(dataCentre, "dataCentre");
        checkArgument(weight >= 1, "weight is below 1: %s", weight);
    }
}
