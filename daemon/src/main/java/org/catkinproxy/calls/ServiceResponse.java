package org.catkinproxy.calls;

import static com.google.common.base.Preconditions.checkNotNull;

import org.catkinproxy.call.CallResponse;
import org.catkinproxy.id.AttemptId;

/**
 * A service's complete response, as it is sent to the caller.
 *
 * <p>Immutable, provided that the body's bytes are not modified.
 *
 * @param response the service's response
 * @param attemptId the id of the attempt that received the response
 * @param replayed whether the response was recorded by an earlier attempt
 */
public record ServiceResponse(CallResponse response, AttemptId attemptId, boolean replayed) {
    /** Checks that no component is null. */
    public ServiceResponse {
        checkNotNull(response, "response");
        checkNotNull(attemptId, "attemptId");
    }

    /** Returns the HTTP status. */
    public int status() {
        return response.status();
    }

    /** Returns the content type, or an empty string if the service sent none. */
    public String contentType() {
        return response.contentType();
    }

    /** Returns the complete body, which must not be modified. */
    public byte[] body() {
        return response.body();
    }
}
