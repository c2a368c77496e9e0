package org.catkinproxy.serving;

/**
 * Decides whether a reading of a table is recent enough to replace what is known of it.
 *
 * <p>A reading is stale if its position is before one that this instance has had, or that a peer
 * has named. After several stale readings in a row one is accepted all the same, as a peer may have
 * been wrong; what was not found then counts no more. Each answer of the store names its era, so
 * fewer readings show that there is no later one. Not thread-safe.
 */
public final class ReadingFreshness {
    /** Number of stale readings in a row after which one is accepted. */
    private static final int MAX_STALE_READINGS = 8;

    /** The same for readings of an era before the required one. */
    private static final int MAX_READINGS_OF_EARLIER_ERA = 2;

    /** The highest position that this instance has had, or that a peer has named. */
    private StorePosition mRequired = StorePosition.START;

    /** The highest position that stale readings did not show. */
    private StorePosition mNotFound = StorePosition.START;

    private int mStaleReadings;

    private ReadingFreshness() {}

    /** Returns an object that accepts each reading. */
    public static ReadingFreshness create() {
        return new ReadingFreshness();
    }

    /** Returns the position that a reading has to have. */
    public StorePosition required() {
        return mRequired;
    }

    /** Records that the table is known up to a position. */
    public void recordKnown(StorePosition position) {
        mRequired = StorePosition.max(mRequired, position);
    }

    /**
     * Records that a peer has seen a position.
     *
     * @return whether it counts, and was not looked for in vain before
     */
    public boolean recordNamed(StorePosition position) {
        if (wasNotFound(position)) {
            return false;
        }
        mRequired = StorePosition.max(mRequired, position);
        return true;
    }

    private boolean wasNotFound(StorePosition position) {
        if (position.era() > mRequired.era()) {
            return position.era() <= mNotFound.era();
        }
        return position.era() == mNotFound.era() && !position.isAfter(mNotFound);
    }

    /** Returns whether a reading of all rows is to be used; one that is not should be repeated. */
    public boolean accept(StorePosition reading) {
        if (!mRequired.isAfter(reading)) {
            mStaleReadings = 0;
            mRequired = reading;
            return true;
        }
        boolean isOfEarlierEra = reading.era() < mRequired.era();
        if (mStaleReadings < (isOfEarlierEra ? MAX_READINGS_OF_EARLIER_ERA : MAX_STALE_READINGS)) {
            mStaleReadings++;
            return false;
        }
        mStaleReadings = 0;
        mNotFound = mRequired;
        mRequired = reading;
        return true;
    }
}
