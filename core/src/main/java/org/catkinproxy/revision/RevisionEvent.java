package org.catkinproxy.revision;

import org.catkinproxy.id.InstanceId;
import org.catkinproxy.id.Revision;

import java.util.List;
import java.util.Optional;

/** What the machine is told. All events are immutable. */
public sealed interface RevisionEvent {
    /** The process started, or time passed. */
    record Tick() implements RevisionEvent {}

    /** The other entry instances now known. */
    record PeersChanged(List<InstanceId> peers) implements RevisionEvent {
        /** Copies the list. */
        public PeersChanged {
            peers = List.copyOf(peers);
        }
    }

    /**
     * The store gave its head row, or said that there is none.
     *
     * @param epoch the epoch of the action that asked
     */
    record HeadRead(Optional<Head> head, long epoch) implements RevisionEvent {}

    /**
     * A peer said which revision it has in force.
     *
     * @param fresh whether the peer is sure that it is up to date
     * @param epoch the epoch of the action that asked, {@link #UNASKED} if nobody did
     */
    record PeerSaid(InstanceId peer, Optional<Head> head, boolean fresh, long epoch)
            implements RevisionEvent {
        /** The epoch of what a peer says on its own. */
        public static final long UNASKED = 0;
    }

    /** The content of a revision came, from whichever source. */
    record Loaded(AcceptedSheet sheet) implements RevisionEvent {}

    /** A source could not give the content of a revision; {@code peer} is empty for the store. */
    record LoadFailed(Revision revision, Optional<InstanceId> peer) implements RevisionEvent {}
}
