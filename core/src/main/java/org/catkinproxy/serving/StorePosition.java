package org.catkinproxy.serving;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * A position in the history of the platform's store.
 *
 * <p>A store that is restored from a copy begins a new era: what was written after the copy is
 * gone, and versions are given out again. So a version means something only within its era, and two
 * positions are ordered by their eras first.
 *
 * <p>Immutable and thread-safe.
 *
 * @param era the era, which rises by one with each restoration; 0 if the store names none
 * @param version the version within the era
 */
public record StorePosition(long era, long version) implements Comparable<StorePosition> {
    /** The position before all others. */
    public static final StorePosition START = new StorePosition(0, 0);

    /** Checks that no component is negative. */
    public StorePosition {
        checkArgument(era >= 0, "era is negative: %s", era);
        checkArgument(version >= 0, "version is negative: %s", version);
    }

    /** Returns whether this position is later than {@code other}. */
    public boolean isAfter(StorePosition other) {
        return compareTo(other) > 0;
    }

    /** Returns the later of two positions. */
    public static StorePosition max(StorePosition a, StorePosition b) {
        return a.isAfter(b) ? a : b;
    }

    /** Returns the earlier of two positions. */
    public static StorePosition min(StorePosition a, StorePosition b) {
        return a.isAfter(b) ? b : a;
    }

    @Override
    public int compareTo(StorePosition other) {
        int byEra = Long.compare(era, other.era);
        return byEra != 0 ? byEra : Long.compare(version, other.version);
    }

    @Override
    public String toString() {
        return era + "/" + version;
    }
}
