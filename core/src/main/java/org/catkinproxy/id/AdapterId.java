package org.catkinproxy.id;

/**
 * The id of an adapter that is applied to a model; {@code base} means no adapter.
 *
 * <p>Immutable and thread-safe.
 *
 * @param value 1 to 128 letters, digits and {@code . _ : -}, the first a letter or digit
 */
public record AdapterId(String value) implements Comparable<AdapterId> {
    /** The id for a model that is served without an adapter. */
    public static final AdapterId BASE = new AdapterId("base");

    /** Validates the value. */
    public AdapterId {
        IdSyntax.check("adapter", value);
    }

    /**
     * Returns the id {@code value}.
     *
     * @throws IllegalArgumentException if {@code value} is not of the allowed form
     */
    public static AdapterId of(String value) {
        return new AdapterId(value);
    }

    @Override
    public int compareTo(AdapterId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
