package org.catkinproxy.gateway;

import org.catkinproxy.id.ServiceId;
import org.catkinproxy.serving.AdmissionPolicy;
import org.catkinproxy.serving.CallKind;
import org.catkinproxy.serving.EngineLimits;
import org.catkinproxy.serving.Prompt;
import org.catkinproxy.serving.RetryPolicy;
import org.catkinproxy.serving.Route;
import org.catkinproxy.serving.RunCopy;
import org.catkinproxy.serving.SendFailure;
import org.catkinproxy.serving.UpstreamChooser;
import org.catkinproxy.serving.UpstreamState;

import java.util.Collection;
import java.util.Optional;

/**
 * Finds the upstreams of one request: for its first attempt, for retries, and for a stream that
 * goes on from a backup.
 *
 * <p>Used by the event loop only.
 */
final class RequestPlacement {
    private final Gateway mGateway;
    private final AdmittedRequest mRequest;
    private final ServiceId mService;
    private final AttemptHistory mHistory;
    private final ServerSentEventSplitter mEventSplitter;
    private final long mDeadline;
    private Optional<UpstreamChooser.PlacementRequest> mPrompt;
    private final boolean mBackupEnabled;

    RequestPlacement(
            Gateway gateway,
            AdmittedRequest request,
            AttemptHistory history,
            ServerSentEventSplitter eventSplitter,
            long deadline) {
        mGateway = gateway;
        mRequest = request;
        mService = request.service();
        mHistory = history;
        mEventSplitter = eventSplitter;
        mDeadline = deadline;
        mPrompt = request.head().prompt().map(this::placementRequest);
        mBackupEnabled = mPrompt.isPresent() && isUnrepeatableStream(request.route());
    }

    private static boolean isUnrepeatableStream(Route route) {
        return route.kind() == CallKind.STREAM && !route.isSafeToRetry();
    }

    private UpstreamChooser.PlacementRequest placementRequest(Prompt prompt) {
        double fetchNanosPerToken =
                mGateway.engineLimits(mService).map(EngineLimits::fetchNanosPerToken).orElse(0.0);
        return new UpstreamChooser.PlacementRequest(
                prompt,
                mRequest.cacheScope(mGateway.cacheScopes()),
                mGateway.desiredVersions(),
                fetchNanosPerToken,
                mGateway.promptStoreView(prompt),
                mDeadline);
    }

    /** Returns the prompt as the chooser sees it, empty for a request without a prompt. */
    Optional<UpstreamChooser.PlacementRequest> request() {
        return mPrompt;
    }

    /** Takes over a cache scope that has changed while the request waited. */
    private void updateCacheScope() {
        String scope = mRequest.cacheScope(mGateway.cacheScopes());
        mPrompt = mPrompt.map(p -> p.cacheScope().equals(scope) ? p : p.withCacheScope(scope));
    }

    /**
     * Returns whether the engine copies the run's KV cache to a backup engine as it grows, which is
     * done for streams that are not safe to retry.
     */
    boolean isBackupEnabled() {
        return mBackupEnabled;
    }

    /** Returns the best upstream that was not tried, empty if none accepts requests. */
    Optional<UpstreamChooser.Choice> choose(long now) {
        updateCacheScope();
        Collection<UpstreamState> states = mGateway.upstreamStates(mService);
        return mPrompt.isEmpty()
                ? mGateway.chooser().chooseUpstream(states, mHistory.tried(), now)
                : mGateway.chooser().chooseEngine(states, mHistory.tried(), mPrompt.get(), now);
    }

    /**
     * Applies the admission policy to new prompts only: other requests, retries and resumed streams
     * are admitted under any load.
     */
    AdmissionPolicy.Verdict decideAdmission(UpstreamChooser.Choice choice, long now) {
        if (mPrompt.isEmpty()
                || mHistory.attempts() > 0
                || mRequest.head().lastEventId().isPresent()) {
            return AdmissionPolicy.Verdict.ADMIT;
        }
        return AdmissionPolicy.decide(
                mRequest.route(),
                choice.queueWaitNanos(),
                choice.firstTokenNanos(),
                mDeadline - now);
    }

    /**
     * Returns the engine at which a stream that broke after it had begun may go on, apart from the
     * retry budget: the one with the backup of the run's KV cache if the stream is not safe to
     * retry, and else the best one that was not tried.
     */
    Optional<UpstreamChooser.Choice> findSuccessor(
            UpstreamAttempt attempt, SendFailure failure, long now) {
        if (mBackupEnabled) {
            return findBackup(attempt, failure, now);
        }
        return mHistory.mayRetry(failure, mDeadline - now) ? choose(now) : Optional.empty();
    }

    /** Returns the backup at an engine that {@link #findSuccessor} returned, empty for none. */
    Optional<RunCopy> backupCopy(UpstreamChooser.Choice successor) {
        return mBackupEnabled
                ? Optional.of(
                        new RunCopy(
                                successor.target().upstream().address(),
                                mRequest.head().id().value()))
                : Optional.empty();
    }

    /** Returns whether the memory of a run that was stopped is of use at its successor. */
    boolean isCopyUsable(UpstreamAttempt stopped, UpstreamChooser.Choice successor, long now) {
        return successor.target().isAvailable(now)
                && !haveWeightsChanged(stopped)
                && hasWeightsOf(successor.target(), stopped);
    }

    private boolean hasWeightsOf(UpstreamState engine, UpstreamAttempt attempt) {
        return engine.knownVersion(mRequest.head().prompt().orElseThrow())
                == attempt.weightsVersion();
    }

    private Optional<UpstreamChooser.Choice> findBackup(
            UpstreamAttempt attempt, SendFailure failure, long now) {
        boolean enabled = mBackupEnabled && attempt.isSent() && !haveWeightsChanged(attempt);
        boolean hasBegun = mEventSplitter.lastEventId().isPresent();
        if (!enabled
                || !RetryPolicy.mayResumeFromBackup(
                        mRequest.route(), failure, hasBegun, mDeadline - now)) {
            return Optional.empty();
        }
        return attempt.backup()
                .flatMap(b -> mGateway.upstreamState(b))
                .filter(s -> s.isAvailable(now) && hasWeightsOf(s, attempt))
                .map(UpstreamChooser.Choice::of);
    }

    /**
     * Returns whether the weights changed during the run: it must not resume from a backup that was
     * partly computed with other weights.
     */
    private boolean haveWeightsChanged(UpstreamAttempt attempt) {
        int version = attempt.upstreamState().knownVersion(mRequest.head().prompt().orElseThrow());
        return mEventSplitter.hasWeightsVersionChanged() || version != attempt.weightsVersion();
    }

    /** Returns whether another upstream that was not tried may get the request. */
    boolean hasAlternative(UpstreamAttempt attempt, long now) {
        return mGateway.upstreamStates(mService).stream()
                .filter(s -> s.acceptsRequests(now))
                .map(UpstreamState::upstream)
                .filter(u -> !u.id().equals(attempt.upstream().id()))
                .filter(u -> !mHistory.tried().contains(u.id()))
                .anyMatch(u -> mGateway.limitGuard().maySend(u, now));
    }
}
