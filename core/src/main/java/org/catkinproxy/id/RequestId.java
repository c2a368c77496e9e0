package org.catkinproxy.id;

/**
 * The id of a request from a caller, unique across all routers.
 *
 * <p>Immutable and thread-safe.
 *
 * @param value text without control characters that neither begins nor ends with a blank
 */
public record RequestId(String value) implements Comparable<RequestId> {
    /** Validates the value. */
    public RequestId {
        NameSyntax.check("request", value);
    }

    /**
     * Returns the id {@code value}, which this project has chosen.
     *
     * @throws IllegalArgumentException if {@code value} is not 1 to 128 letters, digits and {@code
     *     . _ : -}, the first a letter or digit
     */
    public static RequestId of(String value) {
        return new RequestId(IdSyntax.check("request", value));
    }

    /**
     * Returns the id of a request that its caller has named.
     *
     * @throws IllegalArgumentException if {@code name} is not of the form of {@link #value}
     */
    public static RequestId named(String name) {
        return new RequestId(name);
    }

    @Override
    public int compareTo(RequestId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
