package org.catkinproxy.call;

import java.util.Optional;

/** An event that a {@link CallStateMachine} handles. All events are immutable. */
public sealed interface CallEvent {
    /** The row was read; {@code row} is empty if the call has none. */
    record RowRead(Optional<StoredCall> row) implements CallEvent {}

    /** The row could not be read. */
    record ReadFailed() implements CallEvent {}

    /** The write took effect, and the row now has this version. */
    record Written(long version) implements CallEvent {}

    /** The write was rejected because the row did not have the expected version. */
    record WriteConflict() implements CallEvent {}

    /** The outcome of the write is unknown: it may have taken effect, may still do so, or never. */
    record WriteFailed() implements CallEvent {}

    /** The service returned a complete response that belongs to this call. */
    record ResponseReceived(CallResponse response) implements CallEvent {}

    /** No connection to the instance was established, so nothing was sent. */
    record NotConnected(String reason) implements CallEvent {}

    /** The call may have run, but no complete response that belongs to it was received. */
    record ResponseLost(String reason) implements CallEvent {}

    /**
     * The status query ended.
     *
     * @param response the response of the call if it has run, empty if it has not run yet or if the
     *     status is unknown
     */
    record StatusReceived(Optional<CallResponse> response) implements CallEvent {}

    /** The delay of {@link CallAction.SetTimer} is over. */
    record TimerElapsed() implements CallEvent {}

    /** The caller's deadline passed. */
    record DeadlinePassed() implements CallEvent {}
}
