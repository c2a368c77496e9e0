package org.catkinproxy.caller;

import org.catkinproxy.calls.CallResult;
import org.catkinproxy.calls.CallRunner;
import org.catkinproxy.calls.ServiceCall;
import org.catkinproxy.calls.ServiceResponse;
import org.catkinproxy.config.Configuration;
import org.catkinproxy.config.RequestKind;
import org.catkinproxy.config.ServiceRoute;
import org.catkinproxy.config.Workspace;
import org.catkinproxy.error.CatkinException;
import org.catkinproxy.error.ErrorCode;
import org.catkinproxy.error.Outcome;
import org.catkinproxy.error.Step;
import org.catkinproxy.http.HttpListener;
import org.catkinproxy.id.IdempotencyKey;

import io.jooby.Context;
import io.jooby.StatusCode;
import io.reactivex.rxjava3.disposables.Disposable;

import java.time.Duration;
import java.util.Optional;

/**
 * Validates calls to plain services and passes them to the call runner.
 *
 * <p>An exception thrown by this class rejects a call of which no byte has been sent. Safe for use
 * by any thread.
 */
final class ServiceHandler {
    private static final String IDEMPOTENCY_KEY_HEADER = "Idempotency-Key";
    private static final String PREFIX = "/services/";

    private final AdmissionState mAdmissionState;
    private final CallRunner mRunner;
    private final ServicePoolDirectory mDirectory;
    private final CallerLimits mLimits;
    private final RateLimiter mRateLimiter;
    private final ActiveRequests mActiveRequests;

    ServiceHandler(
            AdmissionState admissionState,
            CallRunner runner,
            ServicePoolDirectory directory,
            CallerLimits limits,
            RateLimiter rateLimiter,
            ActiveRequests activeRequests) {
        mAdmissionState = admissionState;
        mRunner = runner;
        mDirectory = directory;
        mLimits = limits;
        mRateLimiter = rateLimiter;
        mActiveRequests = activeRequests;
    }

    /** Handles one call. The response is sent through {@code ctx}, possibly after the return. */
    Object handle(Context ctx) {
        mActiveRequests.enter();
        try {
            ServiceCall call = admit(ctx);
            Disposable unused =
                    mRunner.run(call)
                            .doFinally(mActiveRequests::leave)
                            .subscribe(
                                    result -> respond(ctx, result),
                                    e -> HttpListener.sendError(ctx, HttpListener.toError(e)));
        } catch (RuntimeException e) {
            mActiveRequests.leave();
            throw e;
        }
        return ctx;
    }

    /**
     * Parses and validates a call before its record is read. A rejected call with an idempotency
     * key may be the retry of one that ran, so its error has outcome {@code UNKNOWN} and not {@code
     * NOT_RUN}.
     */
    private ServiceCall admit(Context ctx) {
        try {
            return parseCall(ctx);
        } catch (CatkinException e) {
            boolean hasKey = ctx.header(IDEMPOTENCY_KEY_HEADER).toOptional().isPresent();
            throw hasKey ? withOutcomeUnknown(e) : e;
        }
    }

    private static CatkinException withOutcomeUnknown(CatkinException e) {
        return CatkinException.of(e.code(), e.step(), e.peer(), Outcome.UNKNOWN, e.getMessage(), e);
    }

    private ServiceCall parseCall(Context ctx) {
        Configuration configuration = mAdmissionState.configuration();
        Workspace workspace = Authenticator.authenticate(ctx, configuration);
        checkAdmission(workspace);
        String name = ctx.path("service").value();
        ServiceRoute route =
                configuration
                        .findServiceRoute(workspace.id(), name)
                        .orElseThrow(() -> rejection(ErrorCode.UNKNOWN_SERVICE));
        String path = ctx.getRequestPath().substring((PREFIX + name).length());
        path = path.isEmpty() ? "/" : path;
        RequestKind kind =
                configuration.serviceCallKind(workspace.id(), name, ctx.getMethod() + " " + path);
        return new ServiceCall(
                workspace.id(),
                route.service(),
                ctx.getMethod(),
                path + ctx.queryString(),
                ctx.header("Content-Type").value(""),
                ctx.body().bytes(),
                idempotencyKey(ctx),
                kind,
                mDirectory.instances(route.pool()),
                timeout(ctx),
                ctx.header(CallResult.RECEIPT_HEADER).toOptional(),
                hasOneWorkspace(configuration, route));
    }

    private void checkAdmission(Workspace workspace) {
        if (!mAdmissionState.acceptsRequests()) {
            throw rejection(ErrorCode.STOPPING);
        }
        if (!mAdmissionState.isConfigurationFresh()) {
            throw rejection(ErrorCode.NOT_CONFIGURED);
        }
        if (!mRateLimiter.tryAcquire(workspace.id())) {
            throw rejection(ErrorCode.RATE_LIMITED);
        }
    }

    private static Optional<IdempotencyKey> idempotencyKey(Context ctx) {
        try {
            return ctx.header(IDEMPOTENCY_KEY_HEADER).toOptional().map(IdempotencyKey::of);
        } catch (IllegalArgumentException e) {
            throw CatkinException.notRun(
                    ErrorCode.MISSING_IDEMPOTENCY_KEY,
                    Step.PARSE,
                    CatkinException.NO_PEER,
                    e.getMessage());
        }
    }

    /** Returns whether only the route's workspace calls the instances of its pool. */
    private static boolean hasOneWorkspace(Configuration configuration, ServiceRoute route) {
        return configuration.services().stream()
                .filter(s -> s.pool().equals(route.pool()))
                .allMatch(s -> s.workspace().equals(route.workspace()));
    }

    private Duration timeout(Context ctx) {
        return DeadlineHeader.read(ctx, mLimits);
    }

    private static void respond(Context ctx, CallResult result) {
        if (result instanceof CallResult.Responded responded) {
            sendResponse(ctx, responded.response());
        } else if (result instanceof CallResult.Failed failed) {
            failed.receipt().ifPresent(r -> ctx.setResponseHeader(CallResult.RECEIPT_HEADER, r));
            HttpListener.sendError(ctx, failed.error());
        }
    }

    private static void sendResponse(Context ctx, ServiceResponse response) {
        ctx.setResponseCode(StatusCode.valueOf(response.status()));
        if (!response.contentType().isEmpty()) {
            ctx.setResponseHeader("Content-Type", response.contentType());
        }
        ctx.setResponseHeader("Catkin-Attempt", response.attemptId().value());
        ctx.setResponseHeader("Catkin-Replayed", Boolean.toString(response.replayed()));
        ctx.send(response.body());
    }

    private static CatkinException rejection(ErrorCode code) {
        return CatkinException.notRun(code, Step.ADMIT, CatkinException.NO_PEER, code.meaning());
    }
}
