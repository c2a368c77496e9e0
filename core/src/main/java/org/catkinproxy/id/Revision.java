package org.catkinproxy.id;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The number of an accepted configuration; a higher revision replaces a lower one.
 *
 * <p>Immutable and thread-safe.
 *
 * @param value at least 0; 0 is {@link #NONE}
 */
public record Revision(long value) implements Comparable<Revision> {
    /** The revision of a process that has no configuration yet; lower than all others. */
    public static final Revision NONE = new Revision(0);

    /** Checks that the value is not negative. */
    public Revision {
        checkArgument(value >= 0, "revision is negative: %s", value);
    }

    /**
     * Returns the revision {@code value}.
     *
     * @throws IllegalArgumentException if {@code value} is negative
     */
    public static Revision of(long value) {
        return new Revision(value);
    }

    /**
     * Returns the revision that follows this one.
     *
     * @throws ArithmeticException if this is the highest possible value
     */
    public Revision next() {
        return new Revision(Math.addExact(value, 1));
    }

    /** Returns whether this revision is higher than {@code other}. */
    public boolean isAfter(Revision other) {
        return value > other.value;
    }

    @Override
    public int compareTo(Revision other) {
        return Long.compare(value, other.value);
    }

    @Override
    public String toString() {
        return Long.toString(value);
    }
}
