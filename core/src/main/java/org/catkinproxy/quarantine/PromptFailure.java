package org.catkinproxy.quarantine;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import org.catkinproxy.id.RequestId;

import java.util.Set;

/**
 * An attempt whose connection to its engine broke before the prompt was proven to be sound.
 *
 * <p>Immutable and thread-safe.
 *
 * @param engine the engine
 * @param request the request
 * @param sentAt when the attempt was sent, in ns
 * @param failedAt when the connection broke, in ns
 * @param parts the ids of the prompt's shared parts
 */
public record PromptFailure(
        EngineStart engine, RequestId request, long sentAt, long failedAt, Set<Long> parts) {
    /** Validates the components. */
    public PromptFailure {
        checkNotNull(engine, "engine");
        checkNotNull(request, "request");
        checkArgument(sentAt <= failedAt, "sentAt is after failedAt: %s, %s", sentAt, failedAt);
        parts = Set.copyOf(parts);
    }

    /** Identifies a failure, also after it was passed on by other instances. */
    record Key(EngineStart engine, RequestId request) {}

    Key key() {
        return new Key(engine, request);
    }

    /** Returns the failure with {@code nanos} added to its times. */
    PromptFailure plusNanos(long nanos) {
        return new PromptFailure(engine, request, sentAt + nanos, failedAt + nanos, parts);
    }
}
