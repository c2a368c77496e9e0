package org.catkinproxy.revision;

import org.catkinproxy.id.InstanceId;

import java.util.Optional;

/** An action that a {@link RevisionStateMachine} requests. All actions are immutable. */
public sealed interface RevisionAction {
    /** Activates a sheet, whose revision is higher than all previously activated ones. */
    record Activate(AcceptedSheet sheet) implements RevisionAction {}

    /** Sends the active revision to a peer and requests the peer's; the response has the epoch. */
    record Exchange(InstanceId peer, long epoch) implements RevisionAction {}

    /**
     * Reads the head row, which names the newest revision, from the store; the result has the
     * epoch.
     */
    record ReadHeadRow(long epoch) implements RevisionAction {}

    /** Loads the content of a revision from a peer, or from the store if {@code peer} is empty. */
    record LoadSheet(RevisionMetadata metadata, Optional<InstanceId> peer)
            implements RevisionAction {}
}
