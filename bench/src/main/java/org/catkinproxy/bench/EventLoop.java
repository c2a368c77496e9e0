package org.catkinproxy.bench;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.PriorityQueue;

/**
 * A virtual clock with the work that is due on it.
 *
 * <p>Work due at the same time runs in the order in which it was scheduled. Not safe for use by
 * several threads.
 */
final class EventLoop {
    static final long MILLI = 1_000_000L;
    static final long SECOND = 1_000 * MILLI;

    private final PriorityQueue<Due> mDue = new PriorityQueue<>();
    private long mNow;
    private long mScheduled;

    private record Due(long atNanos, long order, Runnable work) implements Comparable<Due> {
        @Override
        public int compareTo(Due other) {
            int byTime = Long.compare(atNanos, other.atNanos);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }

    long now() {
        return mNow;
    }

    void after(long delayNanos, Runnable work) {
        checkArgument(delayNanos >= 0, "delay is negative: %s", delayNanos);
        mDue.add(new Due(mNow + delayNanos, mScheduled++, work));
    }

    /** Runs work again and again, the first time after one period. */
    void every(long periodNanos, Runnable work) {
        after(
                periodNanos,
                () -> {
                    work.run();
                    every(periodNanos, work);
                });
    }

    /** Runs all work that is due before {@code endNanos}. */
    void runUntil(long endNanos) {
        while (!mDue.isEmpty() && mDue.peek().atNanos() < endNanos) {
            Due due = mDue.remove();
            mNow = due.atNanos();
            due.work().run();
        }
        mNow = endNanos;
    }
}
