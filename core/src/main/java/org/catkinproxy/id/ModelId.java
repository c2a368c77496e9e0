package org.catkinproxy.id;

/**
 * The id of a model that engines can load.
 *
 * <p>Immutable and thread-safe.
 *
 * @param value text without control characters that neither begins nor ends with a blank
 */
public record ModelId(String value) implements Comparable<ModelId> {
    /** Validates the value. */
    public ModelId {
        NameSyntax.check("model", value);
    }

    /**
     * Returns the id {@code value}, which this project has chosen.
     *
     * @throws IllegalArgumentException if {@code value} is not 1 to 128 letters, digits and {@code
     *     . _ : -}, the first a letter or digit
     */
    public static ModelId of(String value) {
        return new ModelId(IdSyntax.check("model", value));
    }

    /**
     * Returns the id of a model that operators of a platform have named.
     *
     * @throws IllegalArgumentException if {@code name} is not of the form of {@link #value}
     */
    public static ModelId named(String name) {
        return new ModelId(name);
    }

    @Override
    public int compareTo(ModelId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
