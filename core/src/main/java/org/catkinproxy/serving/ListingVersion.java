package org.catkinproxy.serving;

/**
 * What an upstream counts in its own entry of the platform's registry.
 *
 * <p>Orders the entries of one upstream by age, whichever way they arrived: the store's versions
 * order only what one store has written, and a restored store gives them out again. Immutable and
 * thread-safe.
 *
 * @param startMillis when the process started, in Unix time; later after each restart
 * @param sequence the number of the entry, which starts anew with the process and never falls
 */
public record ListingVersion(long startMillis, long sequence)
        implements Comparable<ListingVersion> {
    /** Returns whether this entry is older than one of the version {@code other}. */
    public boolean isOlderThan(ListingVersion other) {
        return compareTo(other) < 0;
    }

    @Override
    public int compareTo(ListingVersion other) {
        int byStart = Long.compare(startMillis, other.startMillis);
        return byStart != 0 ? byStart : Long.compare(sequence, other.sequence);
    }

    @Override
    public String toString() {
        return startMillis + "/" + sequence;
    }
}
