package org.catkinproxy.relay;

import static com.google.common.base.Preconditions.checkNotNull;

import org.catkinproxy.dispatch.DispatchTask;
import org.catkinproxy.upstream.EngineClient;
import org.catkinproxy.upstream.EngineFleet;

import io.reactivex.rxjava3.core.Scheduler;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.LongSupplier;

/**
 * Creates a task for each request, and tracks the tasks in progress.
 *
 * <p>Safe for use by any thread.
 */
public final class Relay implements AutoCloseable {
    private final DispatchTask mDispatch;
    private final EngineFleet mFleet;
    private final EngineClient mClient;
    private final Scheduler mScheduler;
    private final RelayObserver mObserver;
    private final LongSupplier mNanoClock;
    private final Set<RelayTask> mInProgress = ConcurrentHashMap.newKeySet();

    private Relay(
            DispatchTask dispatch,
            EngineFleet fleet,
            EngineClient client,
            Scheduler scheduler,
            RelayObserver observer,
            LongSupplier nanoClock) {
        mDispatch = checkNotNull(dispatch, "dispatch");
        mFleet = checkNotNull(fleet, "fleet");
        mClient = checkNotNull(client, "client");
        mScheduler = checkNotNull(scheduler, "scheduler");
        mObserver = checkNotNull(observer, "observer");
        mNanoClock = checkNotNull(nanoClock, "clock");
    }

    /**
     * Creates a relay over the given engines.
     *
     * @param observer is notified when requests complete or fail
     * @param nanoClock a monotonic clock in nanoseconds
     */
    public static Relay create(
            DispatchTask dispatch,
            EngineFleet fleet,
            EngineClient client,
            Scheduler scheduler,
            RelayObserver observer,
            LongSupplier nanoClock) {
        return new Relay(dispatch, fleet, client, scheduler, observer, nanoClock);
    }

    /** Creates a task for a request. The caller must start it with {@link RelayTask#start}. */
    public RelayTask createTask(RelayRequest request, ResponseSink sink) {
        return RelayTask.create(
                request,
                sink,
                mDispatch,
                mFleet,
                mClient,
                mScheduler,
                new RelayTimings(request, mObserver, mNanoClock),
                mInProgress);
    }

    /** Returns the number of tasks in progress. */
    public int inProgressCount() {
        return mInProgress.size();
    }

    /**
     * Ends all tasks without notifying callers or engines, so that callers can resume their streams
     * through another entry instance.
     */
    @Override
    public void close() {
        mInProgress.forEach(RelayTask::abandon);
    }
}
