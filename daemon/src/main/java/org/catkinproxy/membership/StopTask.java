package org.catkinproxy.membership;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.base.Ticker;

import org.catkinproxy.observe.EventLog;
import org.catkinproxy.observe.LogEvent;
import org.catkinproxy.stop.StopAction;
import org.catkinproxy.stop.StopEvent;
import org.catkinproxy.stop.StopSettings;
import org.catkinproxy.stop.StopState;
import org.catkinproxy.stop.StopStateMachine;

import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.disposables.CompositeDisposable;
import io.reactivex.rxjava3.disposables.Disposable;
import io.reactivex.rxjava3.subjects.CompletableSubject;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;

/**
 * Carries out the planned stop of this instance.
 *
 * <p>Whoever takes in requests counts one first and asks {@link #isAccepting} then, so that none is
 * missed when the stop begins to refuse. All methods may be called by any thread.
 */
public final class StopTask implements Disposable {
    private static final long TICK_MILLIS = 50;

    private final StopStateMachine mMachine;
    private final IntSupplier mOpenRequests;
    private final Steps mSteps;
    private final Scheduler mScheduler;
    private final Ticker mTicker;
    private final CompositeDisposable mSubscriptions = new CompositeDisposable();
    private final CompletableSubject mLeft = CompletableSubject.create();
    private volatile StopState mState = StopState.SERVING;

    private StopTask(
            StopSettings settings,
            IntSupplier openRequests,
            Steps steps,
            Scheduler scheduler,
            Ticker ticker) {
        mMachine = new StopStateMachine(settings);
        mOpenRequests = checkNotNull(openRequests, "openRequests");
        mSteps = checkNotNull(steps, "steps");
        mScheduler = checkNotNull(scheduler, "scheduler");
        mTicker = checkNotNull(ticker, "ticker");
    }

    /** Creates the task; {@code openRequests} says how many callers' requests are open. */
    public static StopTask create(
            StopSettings settings,
            IntSupplier openRequests,
            Steps steps,
            Scheduler scheduler,
            Ticker ticker) {
        return new StopTask(settings, openRequests, steps, scheduler, ticker);
    }

    /** Begins a planned stop; does nothing if one has begun. */
    public synchronized void stop() {
        boolean first = mState == StopState.SERVING;
        on(new StopEvent.StopRequested());
        if (first && mState != StopState.SERVING) {
            mSubscriptions.add(
                    Flowable.interval(TICK_MILLIS, TimeUnit.MILLISECONDS, mScheduler)
                            .onBackpressureDrop()
                            .subscribe(n -> tick()));
        }
    }

    /** Ends the instance at once, whatever is open. */
    public void end() {
        on(new StopEvent.ForcedStopRequested());
    }

    /** Returns how far the stop has come. */
    public StopState state() {
        return mState;
    }

    /** Tells whether new requests are taken. */
    public boolean isAccepting() {
        return mState.isAccepting();
    }

    /** Completes when the process may end. */
    public Completable left() {
        return mLeft;
    }

    @Override
    public void dispose() {
        mSubscriptions.dispose();
    }

    @Override
    public boolean isDisposed() {
        return mSubscriptions.isDisposed();
    }

    private void tick() {
        on(new StopEvent.Tick(mOpenRequests.getAsInt()));
    }

    private synchronized void on(StopEvent event) {
        long now = TimeUnit.NANOSECONDS.toMillis(mTicker.read());
        List<StopAction> actions = mMachine.handle(event, now);
        if (mState != mMachine.state()) {
            mState = mMachine.state();
            EventLog.log(LogEvent.STOP_STEP, mState);
        }
        actions.forEach(this::run);
    }

    private void run(StopAction action) {
        switch (action) {
            case ANNOUNCE ->
                    mSteps.announce()
                            .subscribe(
                                    () -> on(new StopEvent.PeersInformed()),
                                    e -> EventLog.log(LogEvent.STOP_NOT_TOLD, e),
                                    mSubscriptions);
            case HAND_OVER ->
                    mSteps.handOver()
                            .onErrorComplete()
                            .subscribe(
                                    () -> on(new StopEvent.HandOverFinished()),
                                    e -> {},
                                    mSubscriptions);
            case LEAVE -> leave();
            case REFUSE_REQUESTS -> {}
            default -> throw new AssertionError(action);
        }
    }

    private void leave() {
        mSubscriptions.dispose();
        mLeft.onComplete();
    }

    /** The steps of a stop that reach other processes. */
    public interface Steps {
        /** Tells all peers; fails if one that might name this instance was not reached. */
        Completable announce();

        /** Gives what the instance knows to a peer. */
        Completable handOver();
    }
}
