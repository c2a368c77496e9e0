package org.catkinproxy.service;

import org.catkinproxy.call.CallResponse;

import java.util.Optional;

/**
 * The status of an earlier call, as reported by its service.
 *
 * <p>An empty response proves nothing: the call may not have run yet, or the service could not be
 * reached. Immutable.
 *
 * @param response the call's response, if the service reports that the call ran
 */
public record CallStatus(Optional<CallResponse> response) {
    /** The status of a call that the service did not report as run. */
    public static final CallStatus UNKNOWN = new CallStatus(Optional.empty());

    /** Returns the status of a call that ran and had the given response. */
    public static CallStatus done(CallResponse response) {
        return new CallStatus(Optional.of(response));
    }
}
