package org.catkinproxy.quarantine;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.Set;

/**
 * A combination of prompt parts that no engine gets: prompts that have all of them are refused.
 *
 * <p>Immutable and thread-safe.
 *
 * @param parts the ids of the parts, at least one
 * @param failedAt when the last failure that led to the quarantine happened, in ns
 * @param expiresAt when the quarantine ends, in ns
 */
public record Quarantine(Set<Long> parts, long failedAt, long expiresAt) {
    /** Validates the components. */
    public Quarantine {
        checkArgument(!parts.isEmpty(), "no parts");
        parts = Set.copyOf(parts);
    }

    /** Returns the quarantine with {@code nanos} added to its times. */
    Quarantine plusNanos(long nanos) {
        return new Quarantine(parts, failedAt + nanos, expiresAt + nanos);
    }

    Quarantine withParts(Set<Long> remaining) {
        return new Quarantine(remaining, failedAt, expiresAt);
    }
}
