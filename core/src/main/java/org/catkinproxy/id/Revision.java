package org.catkinproxy.id;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The number of an accepted configuration; a higher one replaces a lower one.
 *
 * <p>Immutable, and so safe for use by any thread.
 *
 * @param value zero (none yet) or more
 */
public record Revision(long value) implements Comparable<Revision> {
    /** The number before the first. */
    public static final Revision NONE = new Revision(0);

    /** Checks that the number is not negative. */
    public Revision {
        checkArgument(value >= 0, "revision is negative: %s", value);
    }

    /** Returns the number {@code value}. */
    public static Revision of(long value) {
        return new Revision(value);
    }

    /** Returns the number after this one. */
    public Revision next() {
        return new Revision(Math.addExact(value, 1));
    }

    /** Tells whether this number is above {@code other}. */
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
