package org.catkinproxy.gateway;

import org.catkinproxy.serving.Prompt;
import org.catkinproxy.serving.UpstreamChooser;
import org.catkinproxy.serving.UpstreamState;

import java.util.Optional;

/**
 * Records in the state of an upstream, and for the prompt, what one attempt shows of them.
 *
 * <p>The request counts in the load of the upstream from {@link #recordStart} to {@link #close},
 * and its prompt tokens as pending until the first output. Latency, generation speed and the
 * survival of the prompt are recorded once at most. Used by the event loop only.
 */
final class AttemptAccounting {
    /** Time of output after which a broken connection is weaker evidence against the prompt. */
    private static final long EARLY_OUTPUT_NANOS = 300_000_000L;

    /** Share of the latency target that a typical upstream needs for a full response. */
    private static final double TYPICAL_LATENCY_TARGET_SHARE = 0.25;

    private final Gateway mGateway;
    private final AdmittedRequest mRequest;
    private final Optional<UpstreamChooser.PlacementRequest> mPlacementRequest;
    private final UpstreamChooser.Choice mChoice;
    private final boolean mIsNewStream;
    private final long mStartedAt;

    /** The version of the weights that the engine was known to have at the start. */
    private final int mWeightsVersion;

    private long mLastActivityAt;
    private boolean mSent;
    private boolean mPrefillEnded;

    /** When the first output arrived, 0 before that. */
    private long mFirstOutputAt;

    private boolean mSurvivalRecorded;
    private boolean mPromptProven;
    private boolean mGenerationRecorded;

    /**
     * Creates the accounting of an attempt that starts now.
     *
     * @param isNewStream whether the response begins with its first event, if it is a stream
     */
    AttemptAccounting(
            Gateway gateway,
            AdmittedRequest request,
            Optional<UpstreamChooser.PlacementRequest> placementRequest,
            UpstreamChooser.Choice choice,
            boolean isNewStream) {
        mGateway = gateway;
        mRequest = request;
        mPlacementRequest = placementRequest;
        mChoice = choice;
        mIsNewStream = isNewStream;
        mStartedAt = gateway.now();
        mLastActivityAt = mStartedAt;
        mWeightsVersion = prompt().map(choice.target()::knownVersion).orElse(0);
    }

    private UpstreamState upstreamState() {
        return mChoice.target();
    }

    private Optional<Prompt> prompt() {
        return mRequest.head().prompt();
    }

    /** Counts the request in the load of the upstream and against its limit. */
    void recordStart() {
        upstreamState().recordSent(mChoice.uncachedTokens());
        mGateway.limitGuard().recordSent(upstreamState().upstream());
    }

    /** Records that the request is written, so that the engine and the store get the prompt. */
    void recordSent() {
        mSent = true;
        mPlacementRequest.ifPresent(this::recordSentPrompt);
    }

    private void recordSentPrompt(UpstreamChooser.PlacementRequest placementRequest) {
        long now = mGateway.now();
        Prompt prompt = placementRequest.prompt();
        long[] keys = prompt.partKeys(placementRequest.cacheScope(mWeightsVersion));
        upstreamState().promptCache().recordSent(prompt, keys, now);
        if (mChoice.saveTo().isPresent()) {
            placementRequest
                    .promptStore()
                    .ifPresent(store -> store.contents().recordSent(prompt, keys, now));
        }
    }

    /** Records that data arrived from the upstream. */
    void recordActivity() {
        mLastActivityAt = mGateway.now();
        upstreamState().recordActivity(mLastActivityAt);
    }

    /** Records that the engine has this version of the weights. */
    void recordWeightsVersion(int version) {
        prompt().ifPresent(p -> upstreamState().recordVersion(p.model(), version));
    }

    /** Records complete events of a stream, which may show that the engine survives for long. */
    void recordEvents() {
        recordActivity();
        recordFirstOutput();
        if (!mSurvivalRecorded && hasLateOutput()) {
            mSurvivalRecorded = true;
            prompt().ifPresent(mGateway.promptGuard()::recordSurvival);
        }
    }

    private boolean hasLateOutput() {
        return hasOutput() && mGateway.now() - mFirstOutputAt >= EARLY_OUTPUT_NANOS;
    }

    /**
     * Records the first output of a valid response and its latency relative to the expected one.
     */
    void recordFirstOutput() {
        if (mPrefillEnded) {
            return;
        }
        endPrefill();
        mFirstOutputAt = mGateway.now();
        double expected =
                mPlacementRequest.isPresent()
                        ? mChoice.baselineFirstTokenNanos()
                        : mRequest.route().latencyTarget().toNanos() * TYPICAL_LATENCY_TARGET_SHARE;
        if (expected > 0) {
            upstreamState().recordRelativeLatency((mLastActivityAt - mStartedAt) / expected);
        }
    }

    private void endPrefill() {
        if (!mPrefillEnded) {
            mPrefillEnded = true;
            upstreamState().recordPrefilled(mChoice.uncachedTokens());
        }
    }

    /**
     * Records that the engine has survived the prompt, which only the end of the run shows: an
     * engine may crash on a prompt at any time after it has begun to write.
     */
    void recordPromptProven() {
        if (!mPromptProven) {
            mPromptProven = true;
            prompt().ifPresent(mGateway.promptGuard()::recordSuccess);
        }
    }

    /** Returns whether the engine may still crash on the prompt. */
    boolean isPromptSuspect() {
        return mSent && !mPromptProven;
    }

    /** Records that the connection broke, which the prompt may have caused. */
    void recordPromptFailure() {
        if (isPromptSuspect()) {
            prompt().ifPresent(this::reportPromptFailure);
        }
    }

    private void reportPromptFailure(Prompt prompt) {
        mGateway.promptGuard()
                .recordFailure(
                        upstreamState().upstream(),
                        mRequest.head().id(),
                        prompt,
                        mStartedAt,
                        hasLateOutput());
    }

    /** Records the speed of a new stream, once, as far as the stream has come. */
    void recordGeneration(boolean isComplete) {
        if (hasOutput() && !mGenerationRecorded && mPlacementRequest.isPresent() && mIsNewStream) {
            mGenerationRecorded = true;
            upstreamState()
                    .recordGeneration(
                            mGateway.now() - mFirstOutputAt,
                            mPlacementRequest.get().prompt().maxOutputTokens(),
                            isComplete);
        }
    }

    /** Removes the request from the load of the upstream; the attempt must call it once only. */
    void close() {
        recordGeneration(false);
        endPrefill();
        upstreamState().recordEnded();
    }

    long startedAt() {
        return mStartedAt;
    }

    /** Returns when data last arrived from the upstream, or the start of the attempt. */
    long lastActivityAt() {
        return mLastActivityAt;
    }

    /** Returns whether any byte of the request may have been sent. */
    boolean isSent() {
        return mSent;
    }

    /** Returns whether any output of a valid response has arrived. */
    boolean hasOutput() {
        return mFirstOutputAt != 0;
    }

    int weightsVersion() {
        return mWeightsVersion;
    }
}
