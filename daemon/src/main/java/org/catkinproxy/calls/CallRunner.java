package org.catkinproxy.calls;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;

import org.catkinproxy.call.CallAttemptSpec;
import org.catkinproxy.call.CallReceiptSigner;
import org.catkinproxy.call.CallRecord;
import org.catkinproxy.error.CatkinException;
import org.catkinproxy.error.ErrorCode;
import org.catkinproxy.error.Step;
import org.catkinproxy.id.AttemptId;
import org.catkinproxy.id.CallKey;
import org.catkinproxy.platform.ObjectStore;
import org.catkinproxy.platform.TableService;
import org.catkinproxy.service.ServiceClient;

import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Observable;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.disposables.Disposable;
import io.reactivex.rxjava3.schedulers.Schedulers;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Runs callers' calls to plain services.
 *
 * <p>Idempotent calls are retried on other instances within a retry budget. An at-most-once call is
 * claimed in the table service before any byte is sent, and runs to completion even if its caller
 * disconnects. Safe for use by any thread.
 */
public final class CallRunner implements Disposable {
    /** The maximum number of callers that wait for at-most-once calls. */
    private static final int MAX_WAITING_CALLERS = 4_096;

    private static final long DRAIN_POLL_MILLIS = 50;

    private final CallSettings mSettings;
    private final CallReceiptSigner mReceiptSigner;
    private final IdempotentCallRunner mIdempotentRunner;
    private final CallTask mTask;
    private final AtomicInteger mWaitingCallers = new AtomicInteger();

    private CallRunner(
            CallSettings settings, CallTable table, ServiceClient services, Scheduler scheduler) {
        mSettings = settings;
        mReceiptSigner = CallReceiptSigner.withKey(settings.receiptKey());
        mIdempotentRunner =
                new IdempotentCallRunner(services, CallRunner::newAttemptId, System::nanoTime);
        mTask =
                new CallTask(
                        table,
                        services,
                        mReceiptSigner,
                        scheduler,
                        () -> ThreadLocalRandom.current().nextDouble());
    }

    /** Creates a runner over the given table service, object store and service client. */
    public static CallRunner create(
            CallSettings settings,
            TableService tables,
            ObjectStore objects,
            ServiceClient services) {
        return create(settings, tables, objects, services, Schedulers.computation());
    }

    /** Creates a runner whose attempts use the threads and the clock of {@code scheduler}. */
    static CallRunner create(
            CallSettings settings,
            TableService tables,
            ObjectStore objects,
            ServiceClient services,
            Scheduler scheduler) {
        checkNotNull(settings, "settings");
        checkNotNull(tables, "tables");
        checkNotNull(objects, "objects");
        checkNotNull(services, "services");
        return new CallRunner(settings, new CallTable(tables, objects), services, scheduler);
    }

    /** Runs a call. The result never fails, and disposing of it does not cancel the call. */
    public Single<CallResult> run(ServiceCall call) {
        if (call.kind().isIdempotent()) {
            return mIdempotentRunner.run(call);
        }
        if (call.idempotencyKey().isEmpty()) {
            return rejection(ErrorCode.MISSING_IDEMPOTENCY_KEY);
        }
        if (mWaitingCallers.incrementAndGet() > MAX_WAITING_CALLERS) {
            mWaitingCallers.decrementAndGet();
            return rejection(ErrorCode.QUEUE_FULL);
        }
        Single<CallResult> result =
                runAtMostOnce(call, CallKey.of(call.workspace(), call.idempotencyKey().get()));
        result.subscribe(r -> mWaitingCallers.decrementAndGet());
        return result;
    }

    /** Returns the number of callers that are waiting for at-most-once calls. */
    public int waitingCallers() {
        return mWaitingCallers.get();
    }

    /**
     * Completes when no attempt is in progress, so that no call is left to record or release.
     *
     * <p>Attempts stay in progress during a store outage, so draining lasts at least as long.
     */
    public Completable whenDrained() {
        return Observable.interval(0, DRAIN_POLL_MILLIS, TimeUnit.MILLISECONDS)
                .filter(tick -> mTask.openAttemptCount() == 0)
                .firstOrError()
                .ignoreElement();
    }

    @Override
    public void dispose() {
        mTask.dispose();
    }

    @Override
    public boolean isDisposed() {
        return mTask.isDisposed();
    }

    private Single<CallResult> runAtMostOnce(ServiceCall call, CallKey key) {
        CallRecord claim =
                CallRecord.claimed(
                        newAttemptId(),
                        mSettings.router(),
                        call.service(),
                        call.method() + " " + call.path(),
                        requestDigest(call),
                        System.currentTimeMillis());
        Optional<AttemptId> abandoned = call.receipt().flatMap(r -> mReceiptSigner.verify(key, r));
        CallAttemptSpec spec =
                new CallAttemptSpec(
                        claim,
                        call.instances().size(),
                        abandoned,
                        call.serviceHasOneWorkspace(),
                        mSettings.retention().toMillis());
        return mTask.start(call, spec, key);
    }

    private static AttemptId newAttemptId() {
        return AttemptId.of(UUID.randomUUID().toString());
    }

    private static String requestDigest(ServiceCall call) {
        Hasher hasher = Hashing.sha256().newHasher();
        String metadata =
                String.join(
                        "\n",
                        call.service().value(),
                        call.method(),
                        call.path(),
                        call.contentType());
        hasher.putInt(metadata.length());
        hasher.putString(metadata, StandardCharsets.UTF_8);
        hasher.putBytes(call.body());
        return hasher.hash().toString();
    }

    private static Single<CallResult> rejection(ErrorCode code) {
        return Single.just(
                CallResult.Failed.of(
                        CatkinException.notRun(
                                code, Step.CLAIM, CatkinException.NO_PEER, code.meaning())));
    }
}
