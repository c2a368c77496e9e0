package org.catkinproxy.call;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import org.catkinproxy.error.Outcome;
import org.catkinproxy.id.AttemptId;
import org.catkinproxy.id.InstanceId;
import org.catkinproxy.id.ServiceId;

import java.util.Optional;

/**
 * The content of a call's row.
 *
 * <p>A row is never removed. The states claimed and released may change to any state; done and
 * resolved are final. Immutable and thread-safe.
 *
 * @param state the state of the call
 * @param attempt the attempt that last claimed or released the call
 * @param router the entry instance that made the attempt
 * @param service the service called
 * @param operation the HTTP method and path, shown to operators
 * @param digest the digest of the complete request, which reveals the reuse of a key for another
 *     request
 * @param createdMillis when the key was first claimed, in milliseconds since the Unix epoch
 * @param response the service's response, present if and only if the call is done
 * @param resolution the operator's resolution, present if and only if the call is resolved
 */
public record CallRecord(
        CallState state,
        AttemptId attempt,
        InstanceId router,
        ServiceId service,
        String operation,
        String digest,
        long createdMillis,
        Optional<CallResponse> response,
        Optional<CallResolution> resolution) {
    /** Checks that the response and the resolution are consistent with the state. */
    public CallRecord {
        checkNotNull(state, "state");
        checkNotNull(attempt, "attempt");
        checkNotNull(router, "router");
        checkNotNull(service, "service");
        checkNotNull(operation, "operation");
        checkNotNull(digest, "digest");
        checkArgument(
                response.isPresent() == (state == CallState.DONE),
                "answer must be present exactly in state DONE: %s",
                state);
        checkArgument(
                resolution.isPresent() == (state == CallState.RESOLVED),
                "resolution must be present exactly in state RESOLVED: %s",
                state);
    }

    /** Returns the record by which an attempt claims a call for the first time. */
    public static CallRecord claimed(
            AttemptId attempt,
            InstanceId router,
            ServiceId service,
            String operation,
            String digest,
            long createdMillis) {
        return new CallRecord(
                CallState.CLAIMED,
                attempt,
                router,
                service,
                operation,
                digest,
                createdMillis,
                Optional.empty(),
                Optional.empty());
    }

    /** Returns a copy of this record in state released. */
    public CallRecord released() {
        return withState(CallState.RELEASED, Optional.empty(), Optional.empty());
    }

    /** Returns a copy of this record in state done, with the service's response. */
    public CallRecord done(CallResponse serviceResponse) {
        return withState(CallState.DONE, Optional.of(serviceResponse), Optional.empty());
    }

    /** Returns a copy of this record in state resolved, with an operator's resolution. */
    public CallRecord resolved(CallResolution operatorResolution) {
        return withState(CallState.RESOLVED, Optional.empty(), Optional.of(operatorResolution));
    }

    /** Returns a copy of this record with the creation time of the record that it replaces. */
    public CallRecord withCreatedMillis(long earlierMillis) {
        return new CallRecord(
                state,
                attempt,
                router,
                service,
                operation,
                digest,
                earlierMillis,
                response,
                resolution);
    }

    /** Returns whether the state is final. */
    public boolean isFinal() {
        return state == CallState.DONE || state == CallState.RESOLVED;
    }

    /** Returns whether the call has run, as far as this record tells. */
    public Outcome outcome() {
        return switch (state) {
            case CLAIMED -> Outcome.UNKNOWN;
            case RELEASED -> Outcome.NOT_RUN;
            case DONE -> Outcome.RAN;
            case RESOLVED -> resolution.orElseThrow().ran() ? Outcome.RAN : Outcome.NOT_RUN;
        };
    }

    private CallRecord withState(
            CallState newState,
            Optional<CallResponse> newResponse,
            Optional<CallResolution> newResolution) {
        return new CallRecord(
                newState,
                attempt,
                router,
                service,
                operation,
                digest,
                createdMillis,
                newResponse,
                newResolution);
    }
}
