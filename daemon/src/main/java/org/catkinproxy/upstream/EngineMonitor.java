package org.catkinproxy.upstream;

import org.catkinproxy.id.EngineId;
import org.catkinproxy.observe.EventLog;
import org.catkinproxy.observe.LogEvent;
import org.catkinproxy.route.EngineReport;
import org.catkinproxy.route.RouteEvent;

import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.disposables.CompositeDisposable;
import io.reactivex.rxjava3.disposables.Disposable;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

/**
 * Watches one engine and tells the dispatcher: load reports, cache events, loss and return.
 *
 * <p>Owns the connections to the engine that it watches over. The events go to a consumer that may
 * be called by any thread.
 */
final class EngineMonitor implements Disposable {
    private static final long LOAD_PERIOD_MILLIS = 250;
    private static final long RECONNECT_MILLIS = 500;
    private static final int LOST_AFTER_FAILURES = 2;

    private final EngineClient mClient;
    private final EngineEndpoint mEndpoint;
    private final Consumer<RouteEvent> mEvents;
    private final Consumer<EngineReport> mReports;
    private final CompositeDisposable mWork = new CompositeDisposable();
    private final AtomicLong mLastSequence = new AtomicLong();
    private final AtomicLong mFailures = new AtomicLong();
    private final AtomicBoolean mSnapshotRunning = new AtomicBoolean();
    private volatile SeenReport mLastReport;

    private EngineMonitor(
            EngineClient client,
            EngineEndpoint endpoint,
            Consumer<RouteEvent> events,
            Consumer<EngineReport> reports) {
        mClient = client;
        mEndpoint = endpoint;
        mEvents = events;
        mReports = reports;
    }

    /** Begins to watch an engine. */
    static EngineMonitor start(
            EngineClient client,
            EngineEndpoint endpoint,
            Consumer<RouteEvent> events,
            Consumer<EngineReport> reports) {
        EngineMonitor monitor = new EngineMonitor(client, endpoint, events, reports);
        monitor.mWork.add(monitor.watchLoad());
        monitor.mWork.add(monitor.watchCache());
        return monitor;
    }

    /** Returns the last load report, if one has come. */
    Optional<SeenReport> lastReport() {
        return Optional.ofNullable(mLastReport);
    }

    /** Fetches a snapshot of the cache, unless that is under way. */
    void resync() {
        if (!mSnapshotRunning.compareAndSet(false, true)) {
            return;
        }
        mWork.add(
                mClient.cache(mEndpoint)
                        .doFinally(() -> mSnapshotRunning.set(false))
                        .subscribe(mEvents::accept, e -> {}));
    }

    /** Counts the engine as lost until its next load report. */
    void suspect() {
        if (mFailures.getAndSet(LOST_AFTER_FAILURES) < LOST_AFTER_FAILURES) {
            EventLog.log(LogEvent.ENGINE_LOST, engine());
            mEvents.accept(new RouteEvent.EngineUnavailable(engine()));
        }
    }

    @Override
    public void dispose() {
        mWork.dispose();
    }

    @Override
    public boolean isDisposed() {
        return mWork.isDisposed();
    }

    private Disposable watchLoad() {
        return Flowable.interval(0, LOAD_PERIOD_MILLIS, TimeUnit.MILLISECONDS)
                .onBackpressureDrop()
                .concatMapMaybe(
                        tick ->
                                mClient.load(mEndpoint)
                                        .doOnError(e -> onLoadFailed())
                                        .onErrorComplete(),
                        1)
                .subscribe(this::onLoad, e -> onLoadFailed());
    }

    private Disposable watchCache() {
        return Flowable.defer(() -> mClient.cacheEvents(mEndpoint, mLastSequence.get()))
                .retryWhen(e -> e.delay(RECONNECT_MILLIS, TimeUnit.MILLISECONDS))
                .subscribe(this::onCacheChanged, e -> {});
    }

    private void onLoad(EngineReport report) {
        mLastReport = new SeenReport(report, System.nanoTime(), true);
        if (mFailures.getAndSet(0) >= LOST_AFTER_FAILURES) {
            EventLog.log(LogEvent.ENGINE_BACK, engine());
            mEvents.accept(new RouteEvent.EngineAvailable(engine()));
        }
        mEvents.accept(new RouteEvent.EngineReported(report));
        mReports.accept(report);
    }

    private void onLoadFailed() {
        if (mFailures.incrementAndGet() == LOST_AFTER_FAILURES) {
            SeenReport last = mLastReport;
            mLastReport = last == null ? null : last.asSilent();
            EventLog.log(LogEvent.ENGINE_LOST, engine());
            mEvents.accept(new RouteEvent.EngineUnavailable(engine()));
        }
    }

    private void onCacheChanged(RouteEvent.CacheChanged change) {
        mLastSequence.set(change.sequence());
        mEvents.accept(change);
    }

    private EngineId engine() {
        return mEndpoint.engine();
    }
}
