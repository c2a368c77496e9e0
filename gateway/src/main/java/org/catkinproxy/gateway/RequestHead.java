package org.catkinproxy.gateway;

import static com.google.common.base.Preconditions.checkNotNull;

import org.catkinproxy.id.RequestId;
import org.catkinproxy.serving.Prompt;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * The fields of a caller's request head that the gateway reads.
 *
 * <p>Immutable, and so safe for use by any thread.
 *
 * @param id the request id, the same in all attempts
 * @param timeoutMillis the caller's timeout in ms, empty if the request has none
 * @param apiKey the caller's API key, empty if it sent none
 * @param prompt the prompt for a model engine, empty for other requests
 * @param lastEventId the id of the last event that the caller received, empty for a new stream
 */
public record RequestHead(
        RequestId id,
        OptionalLong timeoutMillis,
        Optional<String> apiKey,
        Optional<Prompt> prompt,
        OptionalLong lastEventId) {
    /** Checks that no component is null. */
    public RequestHead {
        checkNotNull(id, "id");
        checkNotNull(timeoutMillis, "timeoutMillis");
        checkNotNull(apiKey, "apiKey");
        checkNotNull(prompt, "prompt");
        checkNotNull(lastEventId, "lastEventId");
    }
}
