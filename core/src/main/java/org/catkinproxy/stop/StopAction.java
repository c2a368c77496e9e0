package org.catkinproxy.stop;

/** An action that a {@link StopStateMachine} requests. Immutable. */
public enum StopAction {
    /**
     * Announces to all peers that this incarnation is leaving, and stops advertising it to callers.
     */
    ANNOUNCE,
    /** Rejects new requests with outcome {@code NOT_RUN}. */
    REFUSE_REQUESTS,
    /** Transfers the in-memory state of this instance to a peer. */
    HAND_OVER,
    /** Ends the process. */
    LEAVE
}
