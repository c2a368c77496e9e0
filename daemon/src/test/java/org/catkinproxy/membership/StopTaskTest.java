package org.catkinproxy.membership;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.base.Ticker;

import net.jqwik.api.Example;

import org.catkinproxy.stop.StopSettings;
import org.catkinproxy.stop.StopState;

import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.observers.TestObserver;
import io.reactivex.rxjava3.schedulers.TestScheduler;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

final class StopTaskTest {
    private static final StopSettings SETTINGS = new StopSettings(1_000, 5_000, 2_000);

    private final TestScheduler mScheduler = new TestScheduler();
    private final AtomicInteger mOpen = new AtomicInteger();
    private final AtomicInteger mHandOvers = new AtomicInteger();
    private Completable mAnnounce = Completable.complete();

    @Example
    void servesThenRefusesThenWaitsForOpenRequests() {
        StopTask task = create();
        mOpen.set(1);
        task.stop();
        task.stop();
        assertThat(task.state()).isEqualTo(StopState.ANNOUNCED);
        pass(900);
        assertThat(task.isAccepting()).isTrue();
        pass(200);
        assertThat(task.isAccepting()).isFalse();
        pass(3_600_000);
        assertThat(task.state()).isEqualTo(StopState.DRAINING);
        mOpen.set(0);
        TestObserver<Void> left = task.left().test();
        pass(100);
        left.assertComplete();
        assertThat(mHandOvers.get()).isEqualTo(1);
    }

    @Example
    void waitsForTheWholeSpreadIfPeerCouldNotBeTold() {
        mAnnounce = Completable.error(new IllegalStateException("made to fail"));
        StopTask task = create();
        task.stop();
        pass(5_900);
        assertThat(task.isAccepting()).isTrue();
        pass(200);
        assertThat(task.isAccepting()).isFalse();
    }

    @Example
    void endDoesNotWait() {
        StopTask task = create();
        mOpen.set(1);
        task.stop();
        task.end();
        task.left().test().assertComplete();
        assertThat(task.state()).isEqualTo(StopState.LEFT);
    }

    private StopTask create() {
        Ticker ticker =
                new Ticker() {
                    @Override
                    public long read() {
                        return mScheduler.now(TimeUnit.NANOSECONDS);
                    }
                };
        StopTask.Steps steps =
                new StopTask.Steps() {
                    @Override
                    public Completable announce() {
                        return mAnnounce;
                    }

                    @Override
                    public Completable handOver() {
                        return Completable.fromRunnable(mHandOvers::incrementAndGet);
                    }
                };
        return StopTask.create(SETTINGS, mOpen::get, steps, mScheduler, ticker);
    }

    private void pass(long millis) {
        mScheduler.advanceTimeBy(millis, TimeUnit.MILLISECONDS);
    }
}
