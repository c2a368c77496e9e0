package org.catkinproxy.id;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The fencing token of a lease, which increases each time that the lease is acquired.
 *
 * <p>An order is stale if its fencing number is lower than the highest one seen so far.
 *
 * <p>Immutable and thread-safe.
 *
 * @param value at least 0; 0 is {@link #NONE}
 */
public record FencingNumber(long value) implements Comparable<FencingNumber> {
    /** The fencing number before the lease was first acquired; lower than all others. */
    public static final FencingNumber NONE = new FencingNumber(0);

    /** The numbers of one era, so many that a lease does not change hands as often. */
    private static final long NUMBERS_PER_ERA = 1L << 20;

    /** Checks that the value is not negative. */
    public FencingNumber {
        checkArgument(value >= 0, "fencing number is negative: %s", value);
    }

    /**
     * Returns the fencing number {@code value}.
     *
     * @throws IllegalArgumentException if {@code value} is negative
     */
    public static FencingNumber of(long value) {
        return new FencingNumber(value);
    }

    /**
     * Returns the number below those that holders get in an era of the store, so that they are
     * higher than those of earlier eras, which the store may have lost.
     *
     * @param era at least 0
     * @throws ArithmeticException if the era is too high
     */
    public static FencingNumber floorOfEra(long era) {
        return new FencingNumber(Math.multiplyExact(era, NUMBERS_PER_ERA));
    }

    /** Returns the higher of two numbers. */
    public static FencingNumber max(FencingNumber a, FencingNumber b) {
        return a.isAfter(b) ? a : b;
    }

    /**
     * Returns the fencing number that follows this one.
     *
     * @throws ArithmeticException if this is the highest possible value
     */
    public FencingNumber next() {
        return new FencingNumber(Math.addExact(value, 1));
    }

    /** Returns whether this fencing number is higher than {@code other}. */
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
