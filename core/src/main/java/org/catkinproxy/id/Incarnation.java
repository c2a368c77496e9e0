package org.catkinproxy.id;

/**
 * The id of one run of a process.
 *
 * <p>Each start of the process creates a new incarnation, so that state of an earlier run is never
 * mistaken for current state.
 *
 * <p>Immutable and thread-safe.
 *
 * @param value 1 to 128 letters, digits and {@code . _ : -}, the first a letter or digit
 */
public record Incarnation(String value) implements Comparable<Incarnation> {
    /** Validates the value. */
    public Incarnation {
        IdSyntax.check("incarnation", value);
    }

    /**
     * Returns the incarnation {@code value}.
     *
     * @throws IllegalArgumentException if {@code value} is not of the allowed form
     */
    public static Incarnation of(String value) {
        return new Incarnation(value);
    }

    @Override
    public int compareTo(Incarnation other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
