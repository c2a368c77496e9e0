package org.catkinproxy.quarantine;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.Sets;

import org.catkinproxy.id.RequestId;
import org.catkinproxy.serving.UpstreamStart;

import java.util.Set;

/**
 * An attempt whose connection to its engine broke before the prompt was proven to be sound.
 *
 * <p>Immutable and thread-safe.
 *
 * @param key what identifies the failure
 * @param sentAt when the attempt was sent, in ns
 * @param failedAt when the connection broke, in ns
 * @param late whether the engine had generated output for a while, so that many sound prompts fail
 *     this way too when an engine crashes
 * @param suspects the ids of the prompt's shared parts that have not been proven sound since
 */
public record PromptFailure(Key key, long sentAt, long failedAt, boolean late, Set<Long> suspects) {
    /** Validates the components. */
    public PromptFailure {
        checkNotNull(key, "key");
        checkArgument(sentAt <= failedAt, "sentAt is after failedAt: %s, %s", sentAt, failedAt);
        suspects = Set.copyOf(suspects);
    }

    /**
     * Identifies a failure at all instances.
     *
     * @param engine the engine
     * @param request the request
     */
    public record Key(UpstreamStart engine, RequestId request) {
        /** Checks that no component is null. */
        public Key {
            checkNotNull(engine, "engine");
            checkNotNull(request, "request");
        }
    }

    UpstreamStart engine() {
        return key.engine();
    }

    RequestId request() {
        return key.request();
    }

    /** Returns the failure without the suspects that {@code other} does not have. */
    PromptFailure intersect(PromptFailure other) {
        return withSuspects(Sets.intersection(suspects, other.suspects));
    }

    PromptFailure without(long provenPart) {
        return withSuspects(Sets.difference(suspects, Set.of(provenPart)));
    }

    private PromptFailure withSuspects(Set<Long> remaining) {
        return new PromptFailure(key, sentAt, failedAt, late, remaining);
    }

    /** Returns the failure with {@code nanos} added to its times. */
    PromptFailure plusNanos(long nanos) {
        return new PromptFailure(key, sentAt + nanos, failedAt + nanos, late, suspects);
    }
}
