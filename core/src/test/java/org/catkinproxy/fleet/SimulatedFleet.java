package org.catkinproxy.fleet;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.IntConsumer;

/**
 * Instances that exchange datagrams on a virtual clock, with restarts, cuts and busy event loops.
 *
 * <p>An instance that is cut neither sends nor receives datagrams; a busy one handles what it
 * receives late. The same seed gives the same run. Not thread-safe.
 */
public final class SimulatedFleet {
    public static final long NANOS_PER_MILLI = 1_000_000L;

    private static final double DATAGRAM_LOSS = 0.03;
    private static final int MAX_DELAY_MILLIS = 5;

    private static final long CUT_INTERVAL_MILLIS = 5_000;
    private static final long CUT_MILLIS = 6_000;
    private static final long BUSY_INTERVAL_MILLIS = 1_500;
    private static final long BUSY_MILLIS = 1_000;

    private final PriorityQueue<Event> mEvents =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::atMillis).thenComparingLong(Event::number));
    private final Random mRandom;
    private final long[] mCutUntil;
    private final long[] mBusyUntil;
    private final long[] mDisturbedAt;
    private final int[] mStarts;
    private final long[] mClockOffsetMillis;
    private long mNowMillis;
    private long mEventCount;

    private record Event(long atMillis, long number, Runnable action) {}

    public SimulatedFleet(int instances, long seed) {
        mRandom = new Random(seed);
        mCutUntil = new long[instances];
        mBusyUntil = new long[instances];
        mDisturbedAt = new long[instances];
        Arrays.fill(mDisturbedAt, Long.MIN_VALUE / 2);
        mStarts = new int[instances];
        mClockOffsetMillis = mRandom.longs(instances, 0, 100_000).toArray();
    }

    public int size() {
        return mStarts.length;
    }

    public Random random() {
        return mRandom;
    }

    /** Returns the virtual time, in ms. */
    public long nowMillis() {
        return mNowMillis;
    }

    /** Returns the time on an instance's own clock, in ns. */
    public long now(int instance) {
        return (mNowMillis + mClockOffsetMillis[instance]) * NANOS_PER_MILLI;
    }

    /** Runs an action later. */
    public void after(long millis, Runnable action) {
        mEvents.add(new Event(mNowMillis + millis, mEventCount++, action));
    }

    /** Runs a timer of an instance, which its busy event loop delays. */
    public void afterTurn(int instance, long millis, Runnable action) {
        after(millis + Math.max(0, mBusyUntil[instance] - mNowMillis), action);
    }

    /** Runs an action repeatedly, at intervals that vary by a tenth. */
    public void every(long millis, Runnable action) {
        after(
                (long) (millis * (0.9 + 0.2 * mRandom.nextDouble())),
                () -> {
                    action.run();
                    every(millis, action);
                });
    }

    /** Runs all events up to a virtual time. */
    public void runUntil(long millis) {
        while (!mEvents.isEmpty() && mEvents.peek().atMillis() <= millis) {
            Event event = mEvents.poll();
            mNowMillis = event.atMillis();
            event.action().run();
        }
        mNowMillis = millis;
    }

    /** Delivers a datagram unless it is lost, one end is cut, or the receiver restarts before. */
    public void send(int from, int to, Runnable delivery) {
        if (isCut(from) || isCut(to) || mRandom.nextDouble() < DATAGRAM_LOSS) {
            return;
        }
        int start = mStarts[to];
        long busyMillis = Math.max(0, mBusyUntil[to] - mNowMillis);
        after(
                1 + mRandom.nextInt(MAX_DELAY_MILLIS) + busyMillis,
                () -> {
                    if (mStarts[to] == start && !isCut(to)) {
                        delivery.run();
                    }
                });
    }

    /** Returns all other instances in random order. */
    public List<Integer> peers(int instance) {
        List<Integer> peers = new ArrayList<>();
        for (int i = 0; i < size(); i++) {
            if (i != instance) {
                peers.add(i);
            }
        }
        Collections.shuffle(peers, mRandom);
        return peers;
    }

    /** Cuts an instance from all others. */
    public void cut(int instance, long millis) {
        mCutUntil[instance] = Math.max(mCutUntil[instance], mNowMillis + millis);
        mDisturbedAt[instance] = Math.max(mDisturbedAt[instance], mNowMillis + millis);
    }

    private boolean isCut(int instance) {
        return mNowMillis < mCutUntil[instance];
    }

    /** Keeps an instance's event loop from handling what it receives. */
    public void keepBusy(int instance, long millis) {
        mBusyUntil[instance] = Math.max(mBusyUntil[instance], mNowMillis + millis);
    }

    /** Cuts a third of the instances from the others, again and again. */
    public void cutSomeRepeatedly() {
        every(CUT_INTERVAL_MILLIS, () -> forSome(size() / 3, i -> cut(i, CUT_MILLIS)));
    }

    /** Keeps the event loops of half of the instances busy, again and again. */
    public void keepSomeBusyRepeatedly() {
        every(BUSY_INTERVAL_MILLIS, () -> forSome(size() / 2, i -> keepBusy(i, BUSY_MILLIS)));
    }

    private void forSome(int count, IntConsumer action) {
        for (int i = 0; i < count; i++) {
            action.accept(mRandom.nextInt(size()));
        }
    }

    /** Drops what is on its way to an instance that restarts. */
    public void restart(int instance) {
        mStarts[instance]++;
        mDisturbedAt[instance] = Math.max(mDisturbedAt[instance], mNowMillis);
    }

    /** Returns whether an instance has neither restarted nor been cut for a time. */
    public boolean isUndisturbed(int instance, long millis) {
        return mNowMillis - mDisturbedAt[instance] >= millis;
    }
}
