package org.catkinproxy.bench.spread;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * A virtual clock: runs steps in the order of their times, and of their scheduling within one.
 *
 * <p>Confined to one thread.
 */
final class EventQueue {
    private final PriorityQueue<Step> mSteps =
            new PriorityQueue<>(Comparator.comparingLong(Step::time).thenComparing(Step::order));
    private long mNow;
    private long mOrder;

    long now() {
        return mNow;
    }

    void after(long delayMillis, Runnable step) {
        mSteps.add(new Step(mNow + delayMillis, mOrder++, step));
    }

    /** Runs everything up to a time. */
    void runUntil(long time) {
        while (!mSteps.isEmpty() && mSteps.peek().time() <= time) {
            Step step = mSteps.poll();
            mNow = step.time();
            step.run().run();
        }
        mNow = time;
    }

    private record Step(long time, long order, Runnable run) {}
}
