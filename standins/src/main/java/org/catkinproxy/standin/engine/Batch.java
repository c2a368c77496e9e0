package org.catkinproxy.standin.engine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.function.Consumer;

/**
 * The slots of an engine and the queue before them.
 *
 * <p>A slot that becomes free goes to the most urgent waiting generation, the oldest first. Safe
 * for use by any thread; all state is under one lock.
 */
final class Batch {
    private final int mSlots;
    private final int mQueueLimit;
    private final Consumer<Generation> mStarter;
    private final List<Generation> mRunning = new ArrayList<>();
    private final PriorityQueue<Waiting> mWaiting =
            new PriorityQueue<>(
                    Comparator.comparing((Waiting w) -> w.generation().request().priority())
                            .thenComparing(Waiting::number));
    private long mNumber;

    /**
     * Creates an empty batch.
     *
     * @param starter starts the work on a generation that got a slot, without blocking
     */
    Batch(int slots, int queueLimit, Consumer<Generation> starter) {
        mSlots = slots;
        mQueueLimit = queueLimit;
        mStarter = starter;
    }

    /** Takes a generation in, unless the queue is full. */
    synchronized boolean submit(Generation generation) {
        if (mRunning.size() >= mSlots && mWaiting.size() >= mQueueLimit) {
            return false;
        }
        mWaiting.add(new Waiting(generation, mNumber++));
        fill();
        return true;
    }

    /** Gives the slot of a generation to the next one. */
    synchronized void finished(Generation generation) {
        mRunning.remove(generation);
        fill();
    }

    /** Takes a generation out of the queue; one that runs finishes by itself. */
    synchronized void withdraw(Generation generation) {
        mWaiting.removeIf(w -> w.generation() == generation);
    }

    synchronized List<Generation> running() {
        return List.copyOf(mRunning);
    }

    synchronized List<Generation> waiting() {
        return mWaiting.stream().map(Waiting::generation).toList();
    }

    private void fill() {
        while (mRunning.size() < mSlots && !mWaiting.isEmpty()) {
            Generation next = mWaiting.remove().generation();
            mRunning.add(next);
            mStarter.accept(next);
        }
    }

    private record Waiting(Generation generation, long number) {}
}
