package org.catkinproxy.id;

/**
 * The id of a published version of a model and its adapter.
 *
 * <p>Immutable and thread-safe.
 *
 * @param value 1 to 128 letters, digits and {@code . _ : -}, the first a letter or digit
 */
public record WeightsVersion(String value) implements Comparable<WeightsVersion> {
    /** Validates the value. */
    public WeightsVersion {
        IdSyntax.check("version", value);
    }

    /**
     * Returns the version {@code value}.
     *
     * @throws IllegalArgumentException if {@code value} is not of the allowed form
     */
    public static WeightsVersion of(String value) {
        return new WeightsVersion(value);
    }

    @Override
    public int compareTo(WeightsVersion other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
