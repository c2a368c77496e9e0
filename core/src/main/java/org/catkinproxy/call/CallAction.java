package org.catkinproxy.call;

import org.catkinproxy.error.ErrorCode;
import org.catkinproxy.error.Outcome;
import org.catkinproxy.id.AttemptId;

/**
 * An action that a {@link CallStateMachine} requests.
 *
 * <p>{@link ReadRow}, {@link WriteRow}, {@link Send}, {@link QueryStatus} and {@link SetTimer} each
 * cause exactly one event, and at most one of them is in progress at a time. All actions are
 * immutable.
 */
public sealed interface CallAction {
    /** Reads the call's row. */
    record ReadRow() implements CallAction {}

    /** Writes the call's row if the row has version {@code expectedVersion}. */
    record WriteRow(long expectedVersion, CallRecord record) implements CallAction {}

    /**
     * Sends the request once, without retries.
     *
     * @param instanceIndex the index of the target in the list of the service's instances
     */
    record Send(int instanceIndex) implements CallAction {}

    /** Asks the service whether the call has run. */
    record QueryStatus() implements CallAction {}

    /** Requests {@link CallEvent.TimerElapsed} after a delay in milliseconds. */
    record SetTimer(long delayMillis) implements CallAction {}

    /**
     * Returns the service's response to the caller.
     *
     * @param attempt the attempt that sent the request
     * @param replayed whether the response is that of an earlier attempt
     */
    record Reply(CallResponse response, AttemptId attempt, boolean replayed)
            implements CallAction {}

    /**
     * Returns an error to the caller.
     *
     * @param outcome whether the caller's request ran, as far as this attempt knows
     * @param withReceipt whether to add a receipt that this attempt sent nothing; see {@link
     *     CallReceiptSigner}
     */
    record ReplyError(ErrorCode code, Outcome outcome, String message, boolean withReceipt)
            implements CallAction {}

    /** Reports that a call has run although an operator resolved it as not run. */
    record ReportContradiction(CallResolution resolution) implements CallAction {}

    /** Ends the attempt, which requests no further actions. */
    record End() implements CallAction {}
}
