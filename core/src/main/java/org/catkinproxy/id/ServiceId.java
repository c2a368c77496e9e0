package org.catkinproxy.id;

/**
 * The id of a service that runs no model engine.
 *
 * <p>Immutable and thread-safe.
 *
 * @param value text without control characters that neither begins nor ends with a blank
 */
public record ServiceId(String value) implements Comparable<ServiceId> {
    /** Validates the value. */
    public ServiceId {
        NameSyntax.check("service", value);
    }

    /**
     * Returns the id {@code value}, which this project has chosen.
     *
     * @throws IllegalArgumentException if {@code value} is not 1 to 128 letters, digits and {@code
     *     . _ : -}, the first a letter or digit
     */
    public static ServiceId of(String value) {
        return new ServiceId(IdSyntax.check("service", value));
    }

    /**
     * Returns the id of a service that operators of a platform have named.
     *
     * @throws IllegalArgumentException if {@code name} is not of the form of {@link #value}
     */
    public static ServiceId named(String name) {
        return new ServiceId(name);
    }

    @Override
    public int compareTo(ServiceId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
