package org.catkinproxy.caller;

import org.catkinproxy.calls.CallRunner;
import org.catkinproxy.relay.Relay;
import org.catkinproxy.stream.ResumeTokenCodec;

import io.jooby.Jooby;
import io.jooby.Route;
import io.jooby.StatusCode;

import java.util.List;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * The HTTP routes for callers.
 *
 * <p>Safe for use by any thread.
 */
public final class CallerApi implements Consumer<Jooby> {
    private static final List<String> METHODS = List.of("GET", "POST", "PUT", "PATCH", "DELETE");

    private static final StatusCode UNAVAILABLE = StatusCode.SERVICE_UNAVAILABLE;

    private final AdmissionState mAdmissionState;
    private final CompletionHandler mCompletions;
    private final ModelsHandler mModels;
    private final ServiceHandler mServices;
    private final EntriesHandler mEntries;

    private CallerApi(
            AdmissionState admissionState,
            CompletionHandler completions,
            ModelsHandler models,
            ServiceHandler services,
            EntriesHandler entries) {
        mAdmissionState = admissionState;
        mCompletions = completions;
        mModels = models;
        mServices = services;
        mEntries = entries;
    }

    /**
     * Creates the routes.
     *
     * @param activeRequests counts the requests that are being admitted or answered
     * @param nanoClock a monotonic clock in nanoseconds; must be the dispatcher's
     */
    public static CallerApi create(
            AdmissionState admissionState,
            Relay relay,
            CallRunner runner,
            ServicePoolDirectory services,
            EntryDirectory entries,
            ResumeTokenCodec tokenCodec,
            CallerLimits limits,
            ActiveRequests activeRequests,
            LongSupplier nanoClock) {
        RateLimiter rateLimiter =
                new RateLimiter(limits.requestsPerSecondPerWorkspace(), nanoClock);
        return new CallerApi(
                admissionState,
                new CompletionHandler(
                        admissionState,
                        relay,
                        tokenCodec,
                        limits,
                        rateLimiter,
                        activeRequests,
                        nanoClock),
                new ModelsHandler(admissionState),
                new ServiceHandler(
                        admissionState, runner, services, limits, rateLimiter, activeRequests),
                new EntriesHandler(entries));
    }

    @Override
    public void accept(Jooby application) {
        respondsAsynchronously(
                application.post(
                        "/v1/chat/completions",
                        ctx -> mCompletions.handle(ctx, CompletionShape.CHAT)));
        respondsAsynchronously(
                application.post(
                        "/v1/completions", ctx -> mCompletions.handle(ctx, CompletionShape.TEXT)));
        application.get("/v1/models", mModels::handle);
        application.get("/v1/entries", mEntries::handle);
        for (String method : METHODS) {
            respondsAsynchronously(
                    application.route(method, "/services/{service}/*", mServices::handle));
            respondsAsynchronously(
                    application.route(method, "/services/{service}", mServices::handle));
        }
        application.get("/health", ctx -> ctx.send(StatusCode.OK));
        application.get("/ready", ctx -> ctx.send(isReady() ? StatusCode.OK : UNAVAILABLE));
    }

    /** Keeps Jooby from sending a response of its own when the handler returns. */
    private static void respondsAsynchronously(Route route) {
        route.setNonBlocking(true);
    }

    private boolean isReady() {
        return mAdmissionState.acceptsRequests() && mAdmissionState.isConfigurationFresh();
    }
}
