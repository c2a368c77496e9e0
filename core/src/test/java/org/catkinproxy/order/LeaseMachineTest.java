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
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;

/** Contenders on one clock, with pauses and a table that loses, delays and fails. */
class LeaseMachineTest {
    private static final long TTL_MILLIS = 1_000;
    private static final long NANOS = 1_000_000;
    private static final long PLAY_MILLIS = 60_000;

    @Property(seed = "1", tries = 400)
    void neverTwoHoldAtOnceAndNumbersOnlyRise(
            @ForAll long seed, @ForAll @DoubleRange(min = 0, max = 0.5) double faultRate) {
        World world = new World(seed, faultRate, TTL_MILLIS);
        world.play();
        assertThat(world.mMostHolders).isAtMost(1);
        assertThat(world.mNumbersFell).isFalse();
        if (faultRate == 0) {
            assertThat(world.mMostHolders).isEqualTo(1);
        }
    }

    @Example
    void contenderThatWaitsTooShortlyIsCaught() {
        boolean caught = false;
        for (long seed = 0; seed < 200 && !caught; seed++) {
            World world = new World(seed, 0.3, TTL_MILLIS / 3);
            world.play();
            caught = world.mMostHolders > 1;
        }
        assertThat(caught).isTrue();
    }

    @Example
    void pausedHolderFindsOnWakingThatItsTimeIsOver() {
        LeaseMachine machine =
                LeaseMachine.of(InstanceId.of("r"), "s", Duration.ofMillis(TTL_MILLIS));
        machine.handle(new LeaseEvent.Tick(), 0);
        machine.handle(new LeaseEvent.RowRead(Optional.empty()), 0);
        machine.handle(new LeaseEvent.Written(1), TTL_MILLIS * NANOS / 2);
        assertThat(machine.held(TTL_MILLIS * NANOS / 2)).hasValue(FencingNumber.of(1));
        assertThat(machine.held(TTL_MILLIS * NANOS * 3 / 4)).isEmpty();
    }

    @Example
    void supersededHolderStopsActingUntilItHasHigherNumber() {
        LeaseMachine machine =
                LeaseMachine.of(InstanceId.of("r"), "s", Duration.ofMillis(TTL_MILLIS));
        machine.handle(new LeaseEvent.Tick(), 0);
        machine.handle(new LeaseEvent.RowRead(Optional.empty()), 0);
        machine.handle(new LeaseEvent.Written(1), 0);
        machine.handle(new LeaseEvent.Superseded(), 0);
        assertThat(machine.held(0)).isEmpty();
        LeaseRow own = new LeaseRow(InstanceId.of("r"), "s", FencingNumber.of(1), 1);
        LeaseAction.WriteRow write =
                (LeaseAction.WriteRow)
                        machine.handle(
                                        new LeaseEvent.RowRead(
                                                Optional.of(new StoredLease(1, own))),
                                        0)
                                .get();
        assertThat(write.row().number()).isEqualTo(FencingNumber.of(2));
        machine.handle(new LeaseEvent.Written(2), 0);
        assertThat(machine.held(0)).hasValue(FencingNumber.of(2));
    }

    /** Three contenders, the last of which may have a time to live of its own. */
    private static final class World {
        private final Random mRandom;
        private final double mFaultRate;
        private final PriorityQueue<Due> mDue = new PriorityQueue<>();
        private final List<Contender> mContenders = new ArrayList<>();
        private Optional<StoredLease> mRow = Optional.empty();
        private long mNow;
        private long mSerial;
        private int mMostHolders;
        private boolean mNumbersFell;

        World(long seed, double faultRate, long lastTtlMillis) {
            mRandom = new Random(seed);
            mFaultRate = faultRate;
            mContenders.add(new Contender("a", TTL_MILLIS));
            mContenders.add(new Contender("b", TTL_MILLIS));
            mContenders.add(new Contender("c", lastTtlMillis));
        }

        void play() {
            while (mNow < PLAY_MILLIS) {
                Due next = mDue.remove();
                mNow = next.atMillis();
                next.effect().run();
                long holders = mContenders.stream().filter(Contender::holds).count();
                mMostHolders = Math.max(mMostHolders, (int) holders);
            }
        }

        private void after(long millis, Runnable effect) {
            mDue.add(new Due(mNow + millis, mSerial++, effect));
        }

        private boolean fault() {
            return mRandom.nextDouble() < mFaultRate;
        }

        private long someMillis() {
            return mRandom.nextInt(40);
        }

        private LeaseEvent apply(LeaseAction.WriteRow write) {
            long version = mRow.map(StoredLease::version).orElse(StoredLease.ABSENT);
            if (version != write.expected()) {
                return new LeaseEvent.WriteConflict();
            }
            FencingNumber before = mRow.map(r -> r.row().number()).orElse(FencingNumber.NONE);
            mNumbersFell |= before.isAfter(write.row().number());
            mRow = Optional.of(new StoredLease(version + 1, write.row()));
            return new LeaseEvent.Written(version + 1);
        }

        /** One contender, which sometimes sleeps through everything. */
        private final class Contender {
            private final LeaseMachine mMachine;
            private long mAsleepUntil;

            Contender(String name, long ttlMillis) {
                mMachine = LeaseMachine.of(InstanceId.of(name), "s", Duration.ofMillis(ttlMillis));
                after(0, this::tick);
            }

            boolean holds() {
                return mNow >= mAsleepUntil && mMachine.held(mNow * NANOS).isPresent();
            }

            private void tick() {
                if (mRandom.nextInt(100) == 0) {
                    mAsleepUntil = mNow + mRandom.nextInt((int) (3 * TTL_MILLIS));
                }
                deliver(new LeaseEvent.Tick());
                after(50, this::tick);
            }

            private void deliver(LeaseEvent event) {
                if (mNow < mAsleepUntil) {
                    after(mAsleepUntil - mNow, () -> deliver(event));
                    return;
                }
                mMachine.handle(event, mNow * NANOS).ifPresent(this::perform);
            }

            private void perform(LeaseAction action) {
                if (action instanceof LeaseAction.WriteRow write) {
                    write(write);
                    return;
                }
                after(
                        someMillis(),
                        () -> {
                            LeaseEvent seen =
                                    fault()
                                            ? new LeaseEvent.StoreFailed()
                                            : new LeaseEvent.RowRead(mRow);
                            after(someMillis(), () -> deliver(seen));
                        });
            }

            private void write(LeaseAction.WriteRow write) {
                if (!fault()) {
                    after(
                            someMillis(),
                            () -> {
                                LeaseEvent answer = apply(write);
                                after(someMillis(), () -> deliver(answer));
                            });
                    return;
                }
                after(someMillis(), () -> deliver(new LeaseEvent.StoreFailed()));
                if (mRandom.nextBoolean()) {
                    after(mRandom.nextInt((int) TTL_MILLIS), () -> apply(write));
                }
            }
        }

        /** Something that happens at a time. */
        private record Due(long atMillis, long serial, Runnable effect) implements Comparable<Due> {
            @Override
            public int compareTo(Due other) {
                int byTime = Long.compare(atMillis, other.atMillis);
                return byTime != 0 ? byTime : Long.compare(serial, other.serial);
            }
        }
    }
}
