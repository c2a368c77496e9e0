package org.catkinproxy.member;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import org.catkinproxy.id.DataCentreId;
import org.catkinproxy.id.InstanceId;

/**
 * What the platform's list says of an instance, but for its state.
 *
 * <p>Immutable, and so safe for use by any thread.
 *
 * @param id the instance
 * @param kind what runs on it
 * @param address IP number and port for requests
 * @param peerAddress IP number and port for other daemons, empty for other kinds
 * @param dataCentre where it is
 * @param weight its size relative to others, 1 for an ordinary one
 */
public record InstanceInfo(
        InstanceId id,
        InstanceKind kind,
        String address,
        String peerAddress,
        DataCentreId dataCentre,
        int weight) {
    /** Checks that all parts are there. */
    public InstanceInfo {
        checkNotNull(id, "id");
        checkNotNull(kind, "kind");
        checkNotNull(address, "address");
        checkNotNull(peerAddress, "peerAddress");
        checkNotNull(dataCentre, "dataCentre");
        checkArgument(weight >= 1, "weight is below 1: %s", weight);
    }
}
