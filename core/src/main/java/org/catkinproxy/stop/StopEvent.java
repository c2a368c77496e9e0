package org.catkinproxy.stop;

/** An event that a {@link StopStateMachine} handles. All events are immutable. */
public sealed interface StopEvent {
    /** A signal, an operator or the platform requested a planned stop. */
    record StopRequested() implements StopEvent {}

    /** An operator requested to end the process at once. */
    record ForcedStopRequested() implements StopEvent {}

    /** Every reachable peer has received the announcement. */
    record PeersInformed() implements StopEvent {}

    /** The hand-over completed, or no peer could accept the in-memory state. */
    record HandOverFinished() implements StopEvent {}

    /**
     * A periodic timer event.
     *
     * @param openRequests the number of open caller requests, counted after the actions of all
     *     earlier events were performed
     */
    record Tick(int openRequests) implements StopEvent {}
}
