package org.catkinproxy.id;

/**
 * The id of a pool: a group of engines or service instances that serve the same requests.
 *
 * <p>Immutable and thread-safe.
 *
 * @param value 1 to 128 letters, digits and {@code . _ : -}, the first a letter or digit
 */
public record PoolId(String value) implements Comparable<PoolId> {
    /** Validates the value. */
    public PoolId {
        IdSyntax.check("pool", value);
    }

    /**
     * Returns the id {@code value}.
     *
     * @throws IllegalArgumentException if {@code value} is not of the allowed form
     */
    public static PoolId of(String value) {
        return new PoolId(value);
    }

    @Override
    public int compareTo(PoolId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
