package org.catkinproxy.id;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The number of a lease holding; an order with a lower one than seen before is stale.
 *
 * <p>Immutable, and so safe for use by any thread.
 *
 * @param value zero (none yet) or more
 */
public record FencingNumber(long value) implements Comparable<FencingNumber> {
    /** The number before the first. */
    public static final FencingNumber NONE = new FencingNumber(0);

    /** Checks that the number is not negative. */
    public FencingNumber {
        checkArgument(value >= 0, "fencing number is negative: %s", value);
    }

    /** Returns the number {@code value}. */
    public static FencingNumber of(long value) {
        return new FencingNumber(value);
    }

    /** Returns the number after this one. */
    public FencingNumber next() {
        return new FencingNumber(Math.addExact(value, 1));
    }

    /** Tells whether this number is above {@code other}. */
    public boolean isAfter(FencingNumber other) {
        return value > other.value;
    }

    @Override
    public int compareTo(FencingNumber other) {
        return Long.compare(value, other.value);
    }

    @Override
    public String toString() {
        return Long.toString(value);
    }
}
