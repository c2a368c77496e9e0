package org.catkinproxy.platform;

import static com.google.common.base.Preconditions.checkNotNull;

import org.catkinproxy.id.DataCentreId;
import org.catkinproxy.id.InstanceId;

import java.util.Locale;

/**
 * An instance as the platform lists it.
 *
 * <p>Immutable, and so safe for use by any thread.
 *
 * @param id the instance
 * @param kind what runs on it
 * @param address IP number and port, as in {@code 10.0.0.1:8080}
 * @param peerAddress IP number and port for other entry instances, empty for other kinds
 * @param dataCentre where it is
 * @param leaving whether the platform is about to take it away
 * @param weight its size relative to others, 1 for an ordinary one
 */
public record ListedInstance(
        InstanceId id,
        Kind kind,
        String address,
        String peerAddress,
        DataCentreId dataCentre,
        boolean leaving,
        int weight) {
    /** Checks that all parts are there. */
    public ListedInstance {
        checkNotNull(id, "id");
        checkNotNull(kind, "kind");
        checkNotNull(address, "address");
        checkNotNull(peerAddress, "peerAddress");
        checkNotNull(dataCentre, "dataCentre");
    }

    /** What runs on an instance. */
    public enum Kind {
        ENTRY,
        ENGINE,
        SERVICE;

        /** Returns the spelling used by the platform. */
        public String wireName() {
            return name().toLowerCase(Locale.ROOT);
        }
    }
}
