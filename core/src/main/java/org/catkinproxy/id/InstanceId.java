package org.catkinproxy.id;

/**
 * The id of an instance in the instance list: a process of the system, an engine or a service.
 *
 * <p>Immutable and thread-safe.
 *
 * @param value text without control characters that neither begins nor ends with a blank
 */
public record InstanceId(String value) implements Comparable<InstanceId> {
    /** Validates the value. */
    public InstanceId {
        NameSyntax.check("instance", value);
    }

    /**
     * Returns the id {@code value}, which this project has chosen.
     *
     * @throws IllegalArgumentException if {@code value} is not 1 to 128 letters, digits and {@code
     *     . _ : -}, the first a letter or digit
     */
    public static InstanceId of(String value) {
        return new InstanceId(IdSyntax.check("instance", value));
    }

    /**
     * Returns the id of an instance that a platform has named.
     *
     * @throws IllegalArgumentException if {@code name} is not of the form of {@link #value}
     */
    public static InstanceId named(String name) {
        return new InstanceId(name);
    }

    @Override
    public int compareTo(InstanceId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
