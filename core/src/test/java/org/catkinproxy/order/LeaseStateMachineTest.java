package org.catkinproxy.order;

import static com.google.common.truth.Truth.assertThat;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;

import org.catkinproxy.id.FencingNumber;
import org.catkinproxy.id.InstanceId;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;

/**
 * Simulates contenders for one lease, with paused contenders and a store whose reads and writes
 * fail or take effect late, and that comes back from a copy.
 *
 * <p>Guards against two holders at the same time, which a delayed write, a paused holder or a lost
 * row could cause, and against fencing numbers that decrease or are given twice.
 */
class LeaseStateMachineTest {
    private static final long TTL_MILLIS = 1_000;
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long SIMULATION_MILLIS = 60_000;

    @Property(seed = "1", tries = 400)
    void atMostOneHolderAndFencingNumbersNeverDecrease(
            @ForAll long seed, @ForAll @DoubleRange(min = 0, max = 0.5) double faultRate) {
        Simulation simulation = new Simulation(seed, faultRate, TTL_MILLIS);
        simulation.run();
        assertThat(simulation.mMaxHolders).isAtMost(1);
        assertThat(simulation.mFencingNumberDecreased).isFalse();
        if (faultRate == 0) {
            assertThat(simulation.mMaxHolders).isEqualTo(1);
        }
    }

    @Property(seed = "1", tries = 400)
    void atMostOneHolderWhileTheStoreComesBackFromCopies(
            @ForAll long seed, @ForAll @DoubleRange(min = 0, max = 0.5) double faultRate) {
        Simulation simulation = new Simulation(seed, faultRate, TTL_MILLIS).withRestorations();
        simulation.run();
        assertThat(simulation.mMaxHolders).isAtMost(1);
        assertThat(simulation.mFencingNumberDecreased).isFalse();
        if (faultRate == 0) {
            assertThat(simulation.mMaxHolders).isEqualTo(1);
        }
    }

    /** Contenders that do not want the lease for a while read its row now and then. */
    @Property(seed = "1", tries = 400)
    void atMostOneHolderWhileContendersOnlyObserve(
            @ForAll long seed, @ForAll @DoubleRange(min = 0, max = 0.5) double faultRate) {
        Simulation simulation =
                new Simulation(seed, faultRate, TTL_MILLIS).withRestorations().withIdleTimes();
        simulation.run();
        assertThat(simulation.mMaxHolders).isAtMost(1);
        assertThat(simulation.mFencingNumberDecreased).isFalse();
    }

    /**
     * Guards against weights that wait for the time to live when the last holder has stopped long
     * ago (hunt-720f-3).
     */
    @Example
    void observedRowIsTakenOverAtOnce() {
        LeaseStateMachine machine =
                LeaseStateMachine.of(InstanceId.of("r"), "s", Duration.ofMillis(TTL_MILLIS));
        LeaseRow other = new LeaseRow(InstanceId.of("q"), "t", FencingNumber.of(3), 1);
        LeaseEvent read = new LeaseEvent.RowRead(0, Optional.of(new StoredLease(5, other)));
        assertThat(machine.handle(new LeaseEvent.Observe(), 0)).isPresent();
        assertThat(machine.handle(read, 0)).isEmpty();

        long later = TTL_MILLIS * NANOS_PER_MILLI;
        assertThat(machine.handle(new LeaseEvent.Tick(), later)).isPresent();
        LeaseAction.WriteRow write = (LeaseAction.WriteRow) machine.handle(read, later).get();
        assertThat(write.row().fencingNumber()).isEqualTo(FencingNumber.of(4));
        assertThat(write.expectedVersion()).isEqualTo(5);
    }

    @Example
    void observingAcquiresNothing() {
        LeaseStateMachine machine =
                LeaseStateMachine.of(InstanceId.of("r"), "s", Duration.ofMillis(TTL_MILLIS));
        machine.handle(new LeaseEvent.Observe(), 0);
        assertThat(machine.handle(new LeaseEvent.RowRead(0, Optional.empty()), 0)).isEmpty();
        machine.handle(new LeaseEvent.Tick(), 0);
        assertThat(machine.handle(new LeaseEvent.RowRead(0, Optional.empty()), 0)).isPresent();
    }

    @Example
    void contendersThatDoNotKnowTheEraAreDetected() {
        boolean detectsHolders = false;
        boolean detectsNumbers = false;
        for (long seed = 0; seed < 200; seed++) {
            Simulation simulation = new Simulation(seed, 0.1, TTL_MILLIS).withRestorations();
            simulation.mErasAreTold = false;
            simulation.run();
            detectsHolders |= simulation.mMaxHolders > 1;
            detectsNumbers |= simulation.mFencingNumberDecreased;
        }
        assertThat(detectsHolders).isTrue();
        assertThat(detectsNumbers).isTrue();
    }

    /** Guards against a holder that counts on a row which the store has lost. */
    @Example
    void leaseEndsWithTheEraOfTheStore() {
        LeaseStateMachine machine =
                LeaseStateMachine.of(InstanceId.of("r"), "s", Duration.ofMillis(TTL_MILLIS));
        machine.handle(new LeaseEvent.Tick(), 0);
        machine.handle(new LeaseEvent.RowRead(0, Optional.empty()), 0);
        machine.handle(new LeaseEvent.RowWritten(0, 1), 0);
        assertThat(machine.heldFencingNumber(0)).isPresent();
        machine.handle(new LeaseEvent.EraObserved(1), 0);
        assertThat(machine.heldFencingNumber(0)).isEmpty();
    }

    /** Guards against a write that was meant for the store before it came back from a copy. */
    @Example
    void writeThatTakesEffectInLaterEraProvesNoLease() {
        LeaseStateMachine machine =
                LeaseStateMachine.of(InstanceId.of("r"), "s", Duration.ofMillis(TTL_MILLIS));
        machine.handle(new LeaseEvent.Tick(), 0);
        machine.handle(new LeaseEvent.RowRead(0, Optional.empty()), 0);
        machine.handle(new LeaseEvent.RowWritten(1, 7), 0);
        assertThat(machine.heldFencingNumber(0)).isEmpty();
    }

    @Example
    void contenderWithTooShortTtlIsDetected() {
        boolean detected = false;
        for (long seed = 0; seed < 200 && !detected; seed++) {
            Simulation simulation = new Simulation(seed, 0.3, TTL_MILLIS / 3);
            simulation.run();
            detected = simulation.mMaxHolders > 1;
        }
        assertThat(detected).isTrue();
    }

    @Example
    void pausedHolderLosesLeaseAfterThreeQuartersOfTtl() {
        LeaseStateMachine machine =
                LeaseStateMachine.of(InstanceId.of("r"), "s", Duration.ofMillis(TTL_MILLIS));
        machine.handle(new LeaseEvent.Tick(), 0);
        machine.handle(new LeaseEvent.RowRead(0, Optional.empty()), 0);
        machine.handle(new LeaseEvent.RowWritten(0, 1), TTL_MILLIS * NANOS_PER_MILLI / 2);
        assertThat(machine.heldFencingNumber(TTL_MILLIS * NANOS_PER_MILLI / 2))
                .hasValue(FencingNumber.of(1));
        assertThat(machine.heldFencingNumber(TTL_MILLIS * NANOS_PER_MILLI * 3 / 4)).isEmpty();
    }

    @Example
    void supersededHolderHoldsNothingUntilHigherFencingNumber() {
        LeaseStateMachine machine =
                LeaseStateMachine.of(InstanceId.of("r"), "s", Duration.ofMillis(TTL_MILLIS));
        machine.handle(new LeaseEvent.Tick(), 0);
        machine.handle(new LeaseEvent.RowRead(0, Optional.empty()), 0);
        machine.handle(new LeaseEvent.RowWritten(0, 1), 0);
        machine.handle(new LeaseEvent.Superseded(), 0);
        assertThat(machine.heldFencingNumber(0)).isEmpty();
        LeaseRow own = new LeaseRow(InstanceId.of("r"), "s", FencingNumber.of(1), 1);
        LeaseAction.WriteRow write =
                (LeaseAction.WriteRow)
                        machine.handle(
                                        new LeaseEvent.RowRead(
                                                0, Optional.of(new StoredLease(1, own))),
                                        0)
                                .get();
        assertThat(write.row().fencingNumber()).isEqualTo(FencingNumber.of(2));
        machine.handle(new LeaseEvent.RowWritten(0, 2), 0);
        assertThat(machine.heldFencingNumber(0)).hasValue(FencingNumber.of(2));
    }

    /** Three contenders on one clock; the last one may use a different time to live. */
    private static final class Simulation {
        private final Random mRandom;
        private final double mFaultRate;
        private final PriorityQueue<ScheduledTask> mScheduledTasks = new PriorityQueue<>();
        private final List<Contender> mContenders = new ArrayList<>();
        private Map<Long, StoredLease> mRows = new HashMap<>();
        private long mStoreVersion;
        private long mEra;
        private boolean mErasAreTold = true;
        private boolean mHasIdleTimes;
        private FencingNumber mHighestNumber = FencingNumber.NONE;
        private String mHighestHolder = "";
        private long mNow;
        private long mNextSequence;
        private int mMaxHolders;
        private boolean mFencingNumberDecreased;

        Simulation(long seed, double faultRate, long lastTtlMillis) {
            mRandom = new Random(seed);
            mFaultRate = faultRate;
            mContenders.add(new Contender("a", TTL_MILLIS));
            mContenders.add(new Contender("b", TTL_MILLIS));
            mContenders.add(new Contender("c", lastTtlMillis));
        }

        void run() {
            while (mNow < SIMULATION_MILLIS) {
                ScheduledTask task = mScheduledTasks.remove();
                mNow = task.atMillis();
                task.action().run();
                long holders = mContenders.stream().filter(Contender::holdsLease).count();
                mMaxHolders = Math.max(mMaxHolders, (int) holders);
                mContenders.stream().filter(Contender::holdsLease).forEach(this::checkNumber);
            }
        }

        /** Checks that no number is given twice or after a higher one. */
        private void checkNumber(Contender holder) {
            FencingNumber number = holder.fencingNumber();
            boolean isShared =
                    number.equals(mHighestNumber) && !holder.mName.equals(mHighestHolder);
            mFencingNumberDecreased |= isShared || mHighestNumber.isAfter(number);
            if (number.isAfter(mHighestNumber)) {
                mHighestNumber = number;
                mHighestHolder = holder.mName;
            }
        }

        /** Makes the store come back now and then as it was up to three times to live before. */
        Simulation withRestorations() {
            schedule(nextRestorationMillis(), this::copyStore);
            return this;
        }

        /** Makes contenders want the lease for some times only. */
        Simulation withIdleTimes() {
            mHasIdleTimes = true;
            return this;
        }

        private long nextRestorationMillis() {
            return mRandom.nextInt((int) (5 * TTL_MILLIS));
        }

        private void copyStore() {
            Map<Long, StoredLease> rows = Map.copyOf(mRows);
            long version = mStoreVersion;
            schedule(mRandom.nextInt((int) (3 * TTL_MILLIS)), () -> restore(rows, version));
        }

        private void restore(Map<Long, StoredLease> rows, long version) {
            mRows = new HashMap<>(rows);
            mStoreVersion = version;
            mEra++;
            schedule(nextRestorationMillis(), this::copyStore);
        }

        private long toldEra() {
            return mErasAreTold ? mEra : 0;
        }

        private void schedule(long delayMillis, Runnable action) {
            mScheduledTasks.add(new ScheduledTask(mNow + delayMillis, mNextSequence++, action));
        }

        private boolean nextFault() {
            return mRandom.nextDouble() < mFaultRate;
        }

        private long randomDelayMillis() {
            return mRandom.nextInt(40);
        }

        private Optional<StoredLease> row(LeaseAction action) {
            return Optional.ofNullable(mRows.get(action.era()));
        }

        private LeaseEvent apply(LeaseAction.WriteRow write) {
            Optional<StoredLease> current = row(write);
            long version = current.map(StoredLease::version).orElse(StoredLease.ABSENT_VERSION);
            if (version != write.expectedVersion()) {
                return new LeaseEvent.WriteConflict();
            }
            FencingNumber before =
                    current.map(r -> r.row().fencingNumber()).orElse(FencingNumber.NONE);
            mFencingNumberDecreased |= before.isAfter(write.row().fencingNumber());
            mStoreVersion++;
            mRows.put(write.era(), new StoredLease(mStoreVersion, write.row()));
            return new LeaseEvent.RowWritten(toldEra(), mStoreVersion);
        }

        /** A contender that is sometimes paused; events are delivered when it resumes. */
        private final class Contender {
            private final String mName;
            private final LeaseStateMachine mMachine;
            private long mPausedUntilMillis;
            private boolean mIdle;

            Contender(String name, long ttlMillis) {
                mName = name;
                mMachine =
                        LeaseStateMachine.of(
                                InstanceId.of(name), "s", Duration.ofMillis(ttlMillis));
                schedule(0, this::tick);
            }

            boolean holdsLease() {
                return mNow >= mPausedUntilMillis
                        && mMachine.heldFencingNumber(mNow * NANOS_PER_MILLI).isPresent();
            }

            FencingNumber fencingNumber() {
                return mMachine.heldFencingNumber(mNow * NANOS_PER_MILLI).orElseThrow();
            }

            private void tick() {
                if (mRandom.nextInt(100) == 0) {
                    mPausedUntilMillis = mNow + mRandom.nextInt((int) (3 * TTL_MILLIS));
                }
                if (mHasIdleTimes && mRandom.nextInt(60) == 0) {
                    mIdle = !mIdle;
                }
                if (!mIdle) {
                    deliver(new LeaseEvent.Tick());
                } else if (mRandom.nextInt(10) == 0) {
                    deliver(new LeaseEvent.Observe());
                }
                schedule(50, this::tick);
            }

            private void deliver(LeaseEvent event) {
                if (mNow < mPausedUntilMillis) {
                    schedule(mPausedUntilMillis - mNow, () -> deliver(event));
                    return;
                }
                mMachine.handle(event, mNow * NANOS_PER_MILLI).ifPresent(this::perform);
            }

            private void perform(LeaseAction action) {
                if (action instanceof LeaseAction.WriteRow write) {
                    write(write);
                    return;
                }
                schedule(
                        randomDelayMillis(),
                        () -> {
                            LeaseEvent result =
                                    nextFault()
                                            ? new LeaseEvent.StoreFailed()
                                            : new LeaseEvent.RowRead(toldEra(), row(action));
                            schedule(randomDelayMillis(), () -> deliver(result));
                        });
            }

            private void write(LeaseAction.WriteRow write) {
                if (!nextFault()) {
                    schedule(
                            randomDelayMillis(),
                            () -> {
                                LeaseEvent result = apply(write);
                                schedule(randomDelayMillis(), () -> deliver(result));
                            });
                    return;
                }
                schedule(randomDelayMillis(), () -> deliver(new LeaseEvent.StoreFailed()));
                if (mRandom.nextBoolean()) {
                    schedule(mRandom.nextInt((int) TTL_MILLIS), () -> apply(write));
                }
            }
        }

        /** An action at a point in time; tasks at the same time run in the order of scheduling. */
        private record ScheduledTask(long atMillis, long sequence, Runnable action)
                implements Comparable<ScheduledTask> {
            @Override
            public int compareTo(ScheduledTask other) {
                int byTime = Long.compare(atMillis, other.atMillis);
                return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
            }
        }
    }
}
