package org.catkinproxy.calls;

import static com.google.common.base.Preconditions.checkNotNull;

import org.catkinproxy.error.CatkinException;
import org.catkinproxy.error.ErrorCode;
import org.catkinproxy.error.Step;
import org.catkinproxy.id.AttemptId;
import org.catkinproxy.platform.ObjectStore;
import org.catkinproxy.platform.TableService;
import org.catkinproxy.service.ServiceClient;

import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.disposables.Disposable;

import java.util.UUID;

/**
 * Runs callers' calls of plain services.
 *
 * <p>Idempotent calls are retried at other instances within a budget. A call that may run at most
 * once is claimed in the table service before a byte is sent, and runs to its end even if its
 * caller goes away. Safe for use by any thread.
 */
public final class CallRunner implements Disposable {
    private final CallSettings mSettings;
    private final IdempotentCalls mIdempotent;
    private volatile boolean mDisposed;

    private CallRunner(
            CallSettings settings,
            TableService tables,
            ObjectStore objects,
            ServiceClient services) {
        mSettings = settings;
        mIdempotent = new IdempotentCalls(services, this::newAttempt, System::nanoTime);
    }

    /** Makes a runner over the given ports. */
    public static CallRunner create(
            CallSettings settings,
            TableService tables,
            ObjectStore objects,
            ServiceClient services) {
        checkNotNull(settings, "settings");
        checkNotNull(tables, "tables");
        checkNotNull(objects, "objects");
        checkNotNull(services, "services");
        return new CallRunner(settings, tables, objects, services);
    }

    /** Runs a call; the result never fails, and disposing of it does not cancel the call. */
    public Single<CallResult> run(ServiceCall call) {
        if (call.kind().isIdempotent()) {
            return mIdempotent.run(call);
        }
        return Single.just(
                CallResult.Refused.of(
                        CatkinException.notRun(
                                ErrorCode.INTERNAL,
                                Step.CLAIM,
                                CatkinException.NO_PEER,
                                "calls that may run once are not served yet")));
    }

    @Override
    public void dispose() {
        mDisposed = true;
    }

    @Override
    public boolean isDisposed() {
        return mDisposed;
    }

    private AttemptId newAttempt() {
        return AttemptId.of(UUID.randomUUID().toString());
    }
}
