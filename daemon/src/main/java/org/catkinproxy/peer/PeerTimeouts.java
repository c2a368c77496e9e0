package org.catkinproxy.peer;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * How long a daemon waits for another.
 *
 * <p>Immutable, and so safe for use by any thread.
 *
 * @param connectMillis the longest wait for a connection
 * @param readMillis the longest silence of a peer that owes an answer
 * @param idleMillis how long a connection without calls is kept by the side that accepted it
 */
public record PeerTimeouts(int connectMillis, int readMillis, int idleMillis) {
    /** What an instance uses unless told otherwise. */
    public static final PeerTimeouts DEFAULT = new PeerTimeouts(500, 1_000, 30_000);

    /** Checks the ranges. */
    public PeerTimeouts {
        checkArgument(connectMillis > 0, "connectMillis: %s", connectMillis);
        checkArgument(readMillis > 0, "readMillis: %s", readMillis);
        checkArgument(idleMillis > 0, "idleMillis: %s", idleMillis);
    }
}
