package org.catkinproxy.dispatch;

import org.catkinproxy.id.EngineId;
import org.catkinproxy.id.RequestId;
import org.catkinproxy.observe.EventLog;
import org.catkinproxy.observe.LogEvent;
import org.catkinproxy.route.DispatchSettings;
import org.catkinproxy.route.Dispatcher;
import org.catkinproxy.route.RouteAction;
import org.catkinproxy.route.RouteEvent;
import org.catkinproxy.route.RouteExplanation;
import org.catkinproxy.route.RouteRequest;
import org.catkinproxy.task.Mailbox;

import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.disposables.Disposable;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * The task that owns the {@link Dispatcher}, passes events to it and performs its actions.
 *
 * <p>Thread-safe. The mailbox handles events one at a time on one worker, and only this worker
 * accesses the state.
 */
public final class DispatchTask implements Disposable {
    private static final long TICK_INTERVAL_MILLIS = 20;

    private final Dispatcher mDispatcher;
    private final LongSupplier mNanoClock;
    private final Consumer<EngineId> mOnResync;
    private final Map<RequestId, Consumer<RouteAction>> mListeners = new HashMap<>();
    private final Mailbox<Runnable> mMailbox;
    private final Disposable mTickSubscription;

    private DispatchTask(
            DispatchSettings settings,
            LongSupplier nanoClock,
            Scheduler scheduler,
            Consumer<EngineId> onResync) {
        mDispatcher = Dispatcher.create(settings);
        mNanoClock = nanoClock;
        mOnResync = onResync;
        mMailbox =
                Mailbox.open(
                        scheduler,
                        Runnable::run,
                        e -> EventLog.log(LogEvent.TASK_FAILED, "dispatch", e));
        mTickSubscription =
                Flowable.interval(TICK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS, scheduler)
                        .onBackpressureDrop()
                        .subscribe(t -> postEvent(new RouteEvent.Tick()));
    }

    /**
     * Starts the task.
     *
     * @param nanoClock the monotonic clock of the requests' deadlines, in nanoseconds
     * @param scheduler the scheduler that runs the dispatcher and its ticks
     * @param onResync gets each engine whose cache events were lost, and whose cache snapshot
     *     therefore has to be fetched; it runs on the task's worker and must not block
     */
    public static DispatchTask start(
            DispatchSettings settings,
            LongSupplier nanoClock,
            Scheduler scheduler,
            Consumer<EngineId> onResync) {
        return new DispatchTask(settings, nanoClock, scheduler, onResync);
    }

    /** Passes an event to the dispatcher; use {@link #route} for the arrival of a request. */
    public void postEvent(RouteEvent event) {
        mMailbox.post(() -> handle(event));
    }

    /**
     * Requests the choice of an engine for a request.
     *
     * @param excludedEngines the engines that must not get the request
     * @param listener gets exactly one {@code Dispatch} or {@code Refuse}, unless the request is
     *     cancelled before; it runs on the task's worker and must not block
     */
    public void route(
            RouteRequest request, List<EngineId> excludedEngines, Consumer<RouteAction> listener) {
        mMailbox.post(
                () -> {
                    mListeners.put(request.id(), listener);
                    handle(new RouteEvent.RequestArrived(request, excludedEngines));
                });
    }

    /** Cancels a request that is queued or in flight at an engine. */
    public void cancel(RequestId request) {
        mMailbox.post(
                () -> {
                    mListeners.remove(request);
                    handle(new RouteEvent.RequestCancelled(request));
                });
    }

    /** Returns the engine that a request would be dispatched to now, and the candidates. */
    public Single<RouteExplanation> explain(RouteRequest request) {
        return Single.create(
                emitter ->
                        mMailbox.post(
                                () ->
                                        emitter.onSuccess(
                                                mDispatcher.explain(
                                                        mNanoClock.getAsLong(), request))));
    }

    /** Returns the work that this instance has in flight at each engine. */
    public Single<Map<EngineId, RouteEvent.InFlight>> inFlight() {
        return Single.create(
                emitter -> mMailbox.post(() -> emitter.onSuccess(mDispatcher.inFlight())));
    }

    @Override
    public void dispose() {
        mTickSubscription.dispose();
        mMailbox.dispose();
    }

    @Override
    public boolean isDisposed() {
        return mMailbox.isDisposed();
    }

    private void handle(RouteEvent event) {
        for (RouteAction action : mDispatcher.handle(mNanoClock.getAsLong(), event)) {
            perform(action);
        }
    }

    private void perform(RouteAction action) {
        if (action instanceof RouteAction.Dispatch dispatch) {
            notifyListener(dispatch.request(), dispatch);
        } else if (action instanceof RouteAction.Refuse refuse) {
            notifyListener(refuse.request(), refuse);
        } else if (action instanceof RouteAction.Resync resync) {
            mOnResync.accept(resync.engine());
        }
    }

    private void notifyListener(RequestId request, RouteAction action) {
        Consumer<RouteAction> listener = mListeners.remove(request);
        if (listener != null) {
            listener.accept(action);
        }
    }
}
