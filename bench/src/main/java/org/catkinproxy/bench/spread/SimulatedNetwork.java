package org.catkinproxy.bench.spread;

import java.util.random.RandomGenerator;

/**
 * Delays and loses messages.
 *
 * <p>Confined to one thread.
 */
final class SimulatedNetwork {
    private final EventQueue mQueue;
    private final RandomGenerator mRandom;
    private int mMaxDelayMillis = 2;
    private int mLossPercent;
    private long mMessages;

    SimulatedNetwork(EventQueue queue, RandomGenerator random) {
        mQueue = queue;
        mRandom = random;
    }

    void set(int maxDelayMillis, int lossPercent) {
        mMaxDelayMillis = maxDelayMillis;
        mLossPercent = lossPercent;
    }

    long messages() {
        return mMessages;
    }

    void send(Runnable arrival) {
        mMessages++;
        if (mRandom.nextInt(100) >= mLossPercent) {
            mQueue.after(1 + mRandom.nextInt(mMaxDelayMillis), arrival);
        }
    }
}
