package org.catkinproxy.id;

/**
 * The id of a model engine in the instance list; stays the same when the engine restarts.
 *
 * <p>Immutable and thread-safe.
 *
 * @param value 1 to 128 letters, digits and {@code . _ : -}, the first a letter or digit
 */
public record EngineId(String value) implements Comparable<EngineId> {
    /** Validates the value. */
    public EngineId {
        IdSyntax.check("engine", value);
    }

    /**
     * Returns the id {@code value}.
     *
     * @throws IllegalArgumentException if {@code value} is not of the allowed form
     */
    public static EngineId of(String value) {
        return new EngineId(value);
    }

    @Override
    public int compareTo(EngineId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
