package org.catkinproxy.revision;

import org.catkinproxy.id.InstanceId;
import org.catkinproxy.id.Revision;

import java.util.List;
import java.util.Optional;

/** An event that a {@link RevisionStateMachine} handles. All events are immutable. */
public sealed interface RevisionEvent {
    /** The process started, or the periodic timer elapsed. */
    record Tick() implements RevisionEvent {}

    /** The set of known other entry instances changed. */
    record PeersChanged(List<InstanceId> peers) implements RevisionEvent {
        /** Copies the list. */
        public PeersChanged {
            peers = List.copyOf(peers);
        }
    }

    /**
     * The head row was read from the store.
     *
     * @param head the newest accepted revision, empty if the head row does not exist
     * @param epoch the epoch of the action that requested the read
     */
    record HeadRowRead(Optional<RevisionMetadata> head, long epoch) implements RevisionEvent {}

    /**
     * A peer reported its active revision.
     *
     * @param activeRevision the active revision of the peer, empty if it has none
     * @param fresh whether the peer knows that it is up to date
     * @param epoch the epoch of the action that requested the report, {@link #UNSOLICITED} if there
     *     was none
     */
    record PeerReported(
            InstanceId peer, Optional<RevisionMetadata> activeRevision, boolean fresh, long epoch)
            implements RevisionEvent {
        /** The epoch of a report that was not requested. */
        public static final long UNSOLICITED = 0;
    }

    /** The content of a revision was loaded from a peer or the store, or accepted here. */
    record SheetLoaded(AcceptedSheet sheet) implements RevisionEvent {}

    /** Loading a revision from a peer, or from the store if {@code peer} is empty, failed. */
    record SheetLoadFailed(Revision revision, Optional<InstanceId> peer) implements RevisionEvent {}
}
