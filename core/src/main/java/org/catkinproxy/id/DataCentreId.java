package org.catkinproxy.id;

/**
 * The id of a data centre.
 *
 * <p>Immutable and thread-safe.
 *
 * @param value text without control characters that neither begins nor ends with a blank
 */
public record DataCentreId(String value) implements Comparable<DataCentreId> {
    /** Validates the value. */
    public DataCentreId {
        NameSyntax.check("data centre", value);
    }

    /**
     * Returns the id {@code value}, which this project has chosen.
     *
     * @throws IllegalArgumentException if {@code value} is not 1 to 128 letters, digits and {@code
     *     . _ : -}, the first a letter or digit
     */
    public static DataCentreId of(String value) {
        return new DataCentreId(IdSyntax.check("data centre", value));
    }

    /**
     * Returns the id of a data centre that a platform has named.
     *
     * @throws IllegalArgumentException if {@code name} is not of the form of {@link #value}
     */
    public static DataCentreId named(String name) {
        return new DataCentreId(name);
    }

    @Override
    public int compareTo(DataCentreId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
