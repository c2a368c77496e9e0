package org.catkinproxy.id;

/**
 * The key by which a caller identifies a call that may run at most once.
 *
 * <p>Immutable and thread-safe.
 *
 * @param value 1 to 128 letters, digits and {@code . _ : -}, the first a letter or digit
 */
public record IdempotencyKey(String value) implements Comparable<IdempotencyKey> {
    /** Validates the value. */
    public IdempotencyKey {
        IdSyntax.check("idempotency key", value);
    }

    /**
     * Returns the idempotency key {@code value}.
     *
     * @throws IllegalArgumentException if {@code value} is not of the allowed form
     */
    public static IdempotencyKey of(String value) {
        return new IdempotencyKey(value);
    }

    @Override
    public int compareTo(IdempotencyKey other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
