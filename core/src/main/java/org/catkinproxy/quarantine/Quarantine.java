package org.catkinproxy.quarantine;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.Sets;

import java.util.Set;

/**
 * A combination of prompt parts that no engine gets: prompts that have all of them are refused.
 *
 * <p>Immutable and thread-safe.
 *
 * @param key what identifies the quarantine
 * @param parts the ids of the parts; those that are proven to be sound leave the combination, and
 *     without parts the quarantine is lifted
 * @param expiresAt when the quarantine ends, in ns
 */
public record Quarantine(Key key, Set<Long> parts, long expiresAt) {
    /** Validates the components. */
    public Quarantine {
        checkNotNull(key, "key");
        parts = Set.copyOf(parts);
    }

    /**
     * Identifies a quarantine at all instances.
     *
     * @param newestFailure the newest failure that led to the quarantine
     * @param initialParts the ids of the parts at its beginning
     */
    public record Key(PromptFailure.Key newestFailure, Set<Long> initialParts) {
        /** Validates the components. */
        public Key {
            checkNotNull(newestFailure, "newestFailure");
            checkArgument(!initialParts.isEmpty(), "no parts");
            initialParts = Set.copyOf(initialParts);
        }
    }

    /** Returns whether the quarantine covers a prompt with {@code promptParts}. */
    boolean covers(Set<Long> promptParts, long now) {
        return isInForce(now) && promptParts.containsAll(parts);
    }

    /** Returns whether the quarantine covers any prompt. */
    boolean isInForce(long now) {
        return !parts.isEmpty() && expiresAt - now > 0;
    }

    /** Returns the quarantine without the parts that {@code other} does not have. */
    Quarantine intersect(Quarantine other) {
        return new Quarantine(key, Sets.intersection(parts, other.parts), expiresAt);
    }

    Quarantine without(long provenPart) {
        return new Quarantine(key, Sets.difference(parts, Set.of(provenPart)), expiresAt);
    }

    /** Returns the quarantine with {@code nanos} added to its times. */
    Quarantine plusNanos(long nanos) {
        return new Quarantine(key, parts, expiresAt + nanos);
    }
}
