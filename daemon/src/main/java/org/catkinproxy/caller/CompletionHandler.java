package org.catkinproxy.caller;

import com.google.common.hash.Hashing;

import org.catkinproxy.cache.PromptBlocks;
import org.catkinproxy.config.Configuration;
import org.catkinproxy.config.ModelAssignment;
import org.catkinproxy.config.Priority;
import org.catkinproxy.config.Workspace;
import org.catkinproxy.error.CatkinException;
import org.catkinproxy.error.ErrorCode;
import org.catkinproxy.error.Step;
import org.catkinproxy.id.RequestId;
import org.catkinproxy.id.Weights;
import org.catkinproxy.relay.Relay;
import org.catkinproxy.relay.RelayRequest;
import org.catkinproxy.relay.RelayTask;
import org.catkinproxy.relay.ResponseSink;
import org.catkinproxy.route.RouteRequest;
import org.catkinproxy.stream.ResumeToken;
import org.catkinproxy.stream.ResumeTokenCodec;
import org.catkinproxy.upstream.GenerateRequest;

import io.jooby.Context;
import io.jooby.MediaType;

import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Validates completion requests and passes them to the relay.
 *
 * <p>An exception thrown by this class rejects a request that has not been sent to any engine. Safe
 * for use by any thread.
 */
final class CompletionHandler {
    private static final String RESUME_HEADER = "Last-Event-ID";

    private final AdmissionState mAdmissionState;
    private final Relay mRelay;
    private final ResumeTokenCodec mTokenCodec;
    private final CallerLimits mLimits;
    private final RateLimiter mRateLimiter;
    private final ActiveRequests mActiveRequests;
    private final LongSupplier mNanoClock;

    CompletionHandler(
            AdmissionState admissionState,
            Relay relay,
            ResumeTokenCodec tokenCodec,
            CallerLimits limits,
            RateLimiter rateLimiter,
            ActiveRequests activeRequests,
            LongSupplier nanoClock) {
        mAdmissionState = admissionState;
        mRelay = relay;
        mTokenCodec = tokenCodec;
        mLimits = limits;
        mRateLimiter = rateLimiter;
        mActiveRequests = activeRequests;
        mNanoClock = nanoClock;
    }

    /** Handles one request. The response is sent through {@code ctx}, possibly after the return. */
    Object handle(Context ctx, CompletionShape shape) {
        mActiveRequests.enter();
        try {
            admit(ctx, shape);
        } finally {
            // From here on, the relay counts the request if it was started.
            mActiveRequests.leave();
        }
        return ctx;
    }

    private void admit(Context ctx, CompletionShape shape) {
        Configuration configuration = mAdmissionState.configuration();
        Workspace workspace = Authenticator.authenticate(ctx, configuration);
        checkContentType(ctx);
        byte[] body = ctx.body().bytes();
        CompletionRequest completion = CompletionParser.parse(shape, body, mLimits.maxTokens());
        ModelAssignment assignment =
                configuration
                        .findAssignment(workspace.id(), completion.model())
                        .orElseThrow(() -> rejection(ErrorCode.UNKNOWN_MODEL));
        Optional<ResumeToken> resumeToken = resumeToken(ctx);
        checkAdmission(workspace, resumeToken);
        CompletionContext completionContext =
                completionContext(workspace, assignment, completion, body, resumeToken);
        startRelay(
                ctx,
                completionContext,
                relayRequest(ctx, configuration, assignment, completionContext));
    }

    private void startRelay(
            Context ctx, CompletionContext completionContext, RelayRequest request) {
        // The sink and the task refer to each other, so the sink gets the task through a future.
        CompletableFuture<RelayTask> taskFuture = new CompletableFuture<>();
        Runnable onDisconnect = () -> taskFuture.thenAccept(RelayTask::onCallerDisconnected);
        ResponseSink sink =
                completionContext.completion().stream()
                        ? new StreamingResponseSink(
                                ctx,
                                completionContext,
                                mTokenCodec,
                                mLimits.heartbeatInterval(),
                                onDisconnect)
                        : new BufferedResponseSink(ctx, completionContext, onDisconnect);
        RelayTask task = mRelay.createTask(request, sink);
        task.start();
        taskFuture.complete(task);
    }

    private CompletionContext completionContext(
            Workspace workspace,
            ModelAssignment assignment,
            CompletionRequest completion,
            byte[] body,
            Optional<ResumeToken> resumeToken) {
        String bodyDigest = Hashing.sha256().hashBytes(body).toString();
        resumeToken.ifPresent(token -> checkResumeToken(token, workspace, bodyDigest));
        Weights weights = resumeToken.map(ResumeToken::weights).orElse(assignment.weights());
        return new CompletionContext(
                resumeToken.map(ResumeToken::request).orElseGet(CompletionHandler::newRequestId),
                workspace.id(),
                weights,
                completion,
                bodyDigest,
                TimeUnit.MILLISECONDS.toSeconds(System.currentTimeMillis()),
                PromptBlocks.of(workspace.id(), weights, completion.prompt()),
                resumeToken);
    }

    private RelayRequest relayRequest(
            Context ctx,
            Configuration configuration,
            ModelAssignment assignment,
            CompletionContext completionContext) {
        CompletionRequest completion = completionContext.completion();
        PromptBlocks blocks =
                PromptBlocks.of(
                        completionContext.workspace(),
                        completionContext.weights(),
                        completion.prompt());
        Priority priority =
                configuration
                        .modelRequestKind(
                                completionContext.workspace(),
                                completion.model(),
                                completion.user())
                        .priority();
        RouteRequest routeRequest =
                new RouteRequest(
                        completionContext.request(),
                        completionContext.workspace(),
                        completionContext.weights(),
                        assignment.pool(),
                        priority,
                        completionContext.promptBlocks(),
                        completion.maxTokens(),
                        mNanoClock.getAsLong() + DeadlineHeader.read(ctx, mLimits).toNanos());
        GenerateRequest generateRequest =
                new GenerateRequest(
                        completionContext.request(),
                        completionContext.workspace(),
                        completionContext.weights(),
                        priority,
                        completion.prompt(),
                        completionContext.promptBlocks(),
                        completion.maxTokens());
        return new RelayRequest(generateRequest, routeRequest, completionContext.resumeToken());
    }

    private void checkAdmission(Workspace workspace, Optional<ResumeToken> resumeToken) {
        // A resumed stream belongs to a request that was admitted before the stop.
        if (resumeToken.isEmpty() && !mAdmissionState.acceptsRequests()) {
            throw rejection(ErrorCode.STOPPING);
        }
        if (!mAdmissionState.isConfigurationFresh()) {
            throw rejection(ErrorCode.NOT_CONFIGURED);
        }
        if (!mRateLimiter.tryAcquire(workspace.id())) {
            throw rejection(ErrorCode.RATE_LIMITED);
        }
        if (mRelay.inProgressCount() >= mLimits.maxConcurrentRequests()) {
            throw rejection(ErrorCode.QUEUE_FULL);
        }
    }

    private Optional<ResumeToken> resumeToken(Context ctx) {
        return ctx.header(RESUME_HEADER).toOptional().map(mTokenCodec::decode);
    }

    private static void checkResumeToken(
            ResumeToken token, Workspace workspace, String bodyDigest) {
        boolean belongsToWorkspace = token.workspace().equals(workspace.id());
        if (!belongsToWorkspace || !token.requestDigest().equals(bodyDigest)) {
            throw rejection(ErrorCode.INVALID_RESUME_TOKEN);
        }
    }

    private static void checkContentType(Context ctx) {
        MediaType contentType = ctx.getRequestType();
        if (contentType == null || !contentType.matches(MediaType.json)) {
            throw rejection(ErrorCode.WRONG_CONTENT_TYPE);
        }
    }

    private static RequestId newRequestId() {
        return RequestId.of(UUID.randomUUID().toString());
    }

    private static CatkinException rejection(ErrorCode code) {
        return CatkinException.notRun(code, Step.ADMIT, CatkinException.NO_PEER, code.meaning());
    }
}
