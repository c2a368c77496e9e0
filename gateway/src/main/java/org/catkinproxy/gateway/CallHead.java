package org.catkinproxy.gateway;

import static com.google.common.base.Preconditions.checkNotNull;

import org.catkinproxy.id.RequestId;
import org.catkinproxy.serving.Prompt;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * What the head of a caller's request says to the gateway.
 *
 * <p>Immutable, and so safe for use by any thread.
 *
 * @param id the request, the same in all its sends
 * @param budgetMillis how long the caller waits, in ms, empty if it does not say
 * @param key the caller's key, empty if it sent none
 * @param prompt what is asked of a model engine, empty for plain requests
 * @param lastEvent the last event of a stream that the caller has, empty for a new stream
 */
public record CallHead(
        RequestId id,
        OptionalLong budgetMillis,
        Optional<String> key,
        Optional<Prompt> prompt,
        OptionalLong lastEvent) {
    /** Checks that all parts are there. */
    public CallHead {
        checkNotNull(id, "id");
        checkNotNull(budgetMillis, "budgetMillis");
        checkNotNull(key, "key");
        checkNotNull(prompt, "prompt");
        checkNotNull(lastEvent, "lastEvent");
    }
}
