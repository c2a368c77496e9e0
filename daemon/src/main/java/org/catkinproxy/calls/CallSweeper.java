package org.catkinproxy.calls;

import org.catkinproxy.call.CallRecord;
import org.catkinproxy.call.CallResponse;
import org.catkinproxy.observe.EventLog;
import org.catkinproxy.observe.LogEvent;
import org.catkinproxy.platform.ObjectStore;
import org.catkinproxy.platform.TableService;
import org.catkinproxy.service.CallStatus;
import org.catkinproxy.service.ServiceClient;

import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Observable;
import io.reactivex.rxjava3.disposables.Disposable;
import io.reactivex.rxjava3.schedulers.Schedulers;

import java.time.Duration;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/**
 * Periodically records the responses of calls that entry instances left open, by querying the
 * services.
 *
 * <p>A call is recorded only if the service reports that it ran. A report that it has not run
 * proves nothing, because the request may still be in flight. All entry instances sweep, each at
 * its own random offset in the period; compare-and-set writes keep them from overwriting each
 * other's results. Safe for use by any thread.
 */
public final class CallSweeper implements Disposable {
    /** The default period between two sweeps. */
    public static final Duration DEFAULT_PERIOD = Duration.ofMinutes(2);

    private static final Duration STATUS_TIMEOUT = Duration.ofSeconds(2);

    private final CallTable mTable;
    private final ServiceClient mServices;
    private final ServiceDirectory mDirectory;
    private final Disposable mSubscription;

    private CallSweeper(
            CallTable table, ServiceClient services, ServiceDirectory directory, Duration period) {
        mTable = table;
        mServices = services;
        mDirectory = directory;
        long periodMillis = period.toMillis();
        long initialDelayMillis = ThreadLocalRandom.current().nextLong(periodMillis);
        mSubscription =
                Flowable.interval(
                                initialDelayMillis,
                                periodMillis,
                                TimeUnit.MILLISECONDS,
                                Schedulers.computation())
                        .onBackpressureDrop()
                        .concatMapCompletable(tick -> sweep(), 1)
                        .subscribe();
    }

    /** Starts a sweeper that scans the open calls every {@code period}. */
    public static CallSweeper start(
            TableService tables,
            ObjectStore objects,
            ServiceClient services,
            ServiceDirectory directory,
            Duration period) {
        return new CallSweeper(new CallTable(tables, objects), services, directory, period);
    }

    @Override
    public void dispose() {
        mSubscription.dispose();
    }

    @Override
    public boolean isDisposed() {
        return mSubscription.isDisposed();
    }

    private Completable sweep() {
        return mTable.scanOpen()
                .filter(call -> mDirectory.hasOneWorkspace(call.record().service()))
                .concatMapCompletable(this::recordIfRan)
                .doOnError(e -> EventLog.log(LogEvent.CALL_SWEEP_FAILED, e))
                .onErrorComplete();
    }

    private Completable recordIfRan(CallEntry call) {
        return Observable.fromIterable(mDirectory.instances(call.record().service()))
                .concatMapSingle(
                        i -> mServices.queryStatus(i.address(), call.key().key(), STATUS_TIMEOUT))
                .filter(status -> status.response().isPresent())
                .map(CallStatus::response)
                .firstElement()
                .flatMapCompletable(response -> writeResponse(call, response.orElseThrow()));
    }

    /**
     * Ignores failed writes: after a conflict the call is already settled, and any other failure is
     * retried by the next sweep.
     */
    private Completable writeResponse(CallEntry call, CallResponse response) {
        CallRecord done = call.record().done(response);
        return mTable.write(call.key(), call.version(), done)
                .doOnSuccess(version -> EventLog.log(LogEvent.CALL_RECORDED, call.key()))
                .ignoreElement()
                .onErrorComplete();
    }
}
