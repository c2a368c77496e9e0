package org.catkinproxy.gateway;

import org.catkinproxy.serving.Prompt;
import org.catkinproxy.serving.SendFailure;
import org.catkinproxy.serving.UpstreamState;

import java.util.Optional;

/**
 * Records in the states of upstreams what the failed attempts of one request show of them.
 *
 * <p>Used by the event loop only.
 */
final class UpstreamFeedback {
    /** Time without requests for an upstream that rejected one. */
    private static final long REJECTION_PAUSE_NANOS = 150_000_000L;

    /**
     * Time without requests for an engine that rejected one because its weights are outdated: the
     * engine rejects further requests until it has the new weights.
     */
    private static final long WEIGHTS_CHANGE_PAUSE_NANOS = 1_200_000_000L;

    private final Gateway mGateway;
    private final Optional<Prompt> mPrompt;
    private final RequestLog mLog;

    /**
     * Creates an object for one request.
     *
     * @param prompt the request's prompt, empty for a request to a service without engines
     */
    UpstreamFeedback(Gateway gateway, Optional<Prompt> prompt, RequestLog log) {
        mGateway = gateway;
        mPrompt = prompt;
        mLog = log;
    }

    /** Records how an attempt has failed. */
    void recordFailure(UpstreamAttempt attempt, SendFailure failure, long now) {
        UpstreamState state = attempt.upstreamState();
        switch (failure) {
            case NOT_CONNECTED, SILENT -> {
                state.markUnreachable(now);
                mGateway.connectionPool().closeIdle(state.upstream());
                mLog.upstreamSuspect(state.upstream().id(), failure);
            }
            case REJECTED ->
                    state.markRejecting(
                            now,
                            hasOutdatedWeights(state)
                                    ? WEIGHTS_CHANGE_PAUSE_NANOS
                                    : REJECTION_PAUSE_NANOS);
            case EXPIRED, NOT_ACCEPTING -> {
                // The upstream has not failed.
            }
            case BROKEN -> {
                state.recordResponse(false, now);
                attempt.accounting().recordPromptFailure();
            }
            case GARBLED, ERROR_ANSWER -> state.recordResponse(false, now);
            default -> throw new AssertionError(failure);
        }
    }

    private boolean hasOutdatedWeights(UpstreamState state) {
        return mPrompt.filter(
                        p -> state.knownVersion(p) < mGateway.desiredVersions().newest(p.model()))
                .isPresent();
    }

    /** Records that another process has the address, or that the engine has newer weights. */
    void recordMisdirected(UpstreamAttempt attempt, long now) {
        ResponseHead head = attempt.responseHead();
        if (head.instance().filter(i -> !i.equals(attempt.upstream().id())).isPresent()) {
            attempt.upstreamState().markUnreachable(now);
        } else if (head.weightsVersion().isEmpty()) {
            mPrompt.map(p -> mGateway.desiredVersions().newest(p.model()))
                    .ifPresent(attempt.accounting()::recordWeightsVersion);
        }
    }
}
