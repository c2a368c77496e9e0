package org.catkinproxy.serving;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Estimates how long connections wait in a listener's queue until a busy event loop accepts them.
 *
 * <p>The load pattern: many callers connect to a process that has just started. Its loop accepts a
 * limited number of connections in each turn, and the other ones wait for several turns. How long a
 * connection has waited cannot be seen from it. It has not waited for longer than the queue has not
 * been empty: a turn that accepts fewer connections than it may has emptied the queue.
 *
 * <p>Not thread-safe; all times are in nanoseconds of the owner's monotonic clock.
 */
public final class AcceptDelayEstimator {
    private final int mMaxPerTurn;
    private int mAcceptedInTurn;
    private boolean mEmptied = true;
    private long mNotEmptySince;

    private AcceptDelayEstimator(int maxPerTurn) {
        mMaxPerTurn = maxPerTurn;
    }

    /**
     * Returns an estimator for a queue that is empty.
     *
     * @param maxPerTurn the number of connections that are accepted in one turn at most
     */
    public static AcceptDelayEstimator of(int maxPerTurn) {
        checkArgument(maxPerTurn > 0, "maxPerTurn is not positive: %s", maxPerTurn);
        return new AcceptDelayEstimator(maxPerTurn);
    }

    /**
     * Records that a connection is accepted, and returns the longest time, in ns, that it may have
     * waited.
     *
     * @param turnWaitNanos the longest time that it may have waited if it was not yet in the queue
     *     in the turn before
     */
    public long onAccept(long now, long turnWaitNanos) {
        if (mEmptied) {
            mEmptied = false;
            mNotEmptySince = now - turnWaitNanos;
        }
        mAcceptedInTurn++;
        return now - mNotEmptySince;
    }

    /** Records that no more connections are accepted in this turn. */
    public void onTurnEnd() {
        mEmptied = mAcceptedInTurn < mMaxPerTurn;
        mAcceptedInTurn = 0;
    }

    /** Returns whether the last turn emptied the queue. */
    public boolean isEmptied() {
        return mEmptied;
    }
}
