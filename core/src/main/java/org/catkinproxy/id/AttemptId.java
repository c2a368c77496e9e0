package org.catkinproxy.id;

/**
 * The id of one attempt at a request or call, unique across all routers.
 *
 * <p>Immutable and thread-safe.
 *
 * @param value 1 to 128 letters, digits and {@code . _ : -}, the first a letter or digit
 */
public record AttemptId(String value) implements Comparable<AttemptId> {
    /** Validates the value. */
    public AttemptId {
        IdSyntax.check("attempt", value);
    }

    /**
     * Returns the id {@code value}.
     *
     * @throws IllegalArgumentException if {@code value} is not of the allowed form
     */
    public static AttemptId of(String value) {
        return new AttemptId(value);
    }

    @Override
    public int compareTo(AttemptId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
