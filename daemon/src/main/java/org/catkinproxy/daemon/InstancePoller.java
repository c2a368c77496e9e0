package org.catkinproxy.daemon;

import org.catkinproxy.observe.EventLog;
import org.catkinproxy.observe.LogEvent;
import org.catkinproxy.platform.InstanceList;
import org.catkinproxy.platform.ListedInstance;

import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.disposables.Disposable;
import io.reactivex.rxjava3.processors.BehaviorProcessor;

import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Reads the platform's instance list again and again; keeps the last one that could be read.
 *
 * <p>Safe for use by any thread.
 */
final class InstancePoller implements Disposable {
    private static final long PERIOD_MILLIS = 1_000;

    private final BehaviorProcessor<List<ListedInstance>> mInstances =
            BehaviorProcessor.createDefault(List.of());
    private final Disposable mPolls;

    private InstancePoller(InstanceList list) {
        mPolls =
                Flowable.interval(0, PERIOD_MILLIS, TimeUnit.MILLISECONDS)
                        .onBackpressureDrop()
                        .concatMapMaybe(
                                tick ->
                                        list.list()
                                                .doOnError(InstancePoller::logFailure)
                                                .onErrorComplete(),
                                1)
                        .subscribe(mInstances::onNext);
    }

    static InstancePoller start(InstanceList list) {
        return new InstancePoller(list);
    }

    /** Publishes the list, and every one that replaces it. */
    Flowable<List<ListedInstance>> changes() {
        return mInstances.onBackpressureLatest();
    }

    @Override
    public void dispose() {
        mPolls.dispose();
    }

    @Override
    public boolean isDisposed() {
        return mPolls.isDisposed();
    }

    private static void logFailure(Throwable e) {
        EventLog.log(LogEvent.STORE_FAILED, "the instance list", e);
    }
}
