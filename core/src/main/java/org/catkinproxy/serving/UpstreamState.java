package org.catkinproxy.serving;

import static com.google.common.base.Preconditions.checkState;

import org.catkinproxy.id.ModelId;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * One instance's estimate of an upstream's load, latency, failures and cached prompts.
 *
 * <p>The estimate is based on the requests that this instance sent to the upstream, so it is
 * delayed and incomplete. Times are in nanoseconds of the owner's monotonic clock. Not thread-safe.
 */
public final class UpstreamState {
    /** Weight of the newest sample in the moving averages. */
    private static final double SMOOTHING_FACTOR = 0.2;

    private static final long MIN_SUSPECT_NANOS = 400_000_000L;
    private static final long MAX_SUSPECT_NANOS = 4_000_000_000L;
    private static final double MIN_RELATIVE_LATENCY = 0.3;
    private static final double MAX_RELATIVE_LATENCY = 20;

    private Upstream mUpstream;
    private int mInFlight;
    private long mPendingTokens;
    private double mRelativeLatency = 1;
    private double mNanosPerOutputToken;
    private double mErrorRate;
    private long mErrorRateUpdatedAt;
    private long mSuspectUntil;
    private long mSuspectNanos;
    private boolean mSuspect;
    private long mRejectingUntil;
    private long mLastActivityAt;
    private boolean mHasBeenActive;
    private boolean mRejecting;
    private boolean mLeaving;
    private boolean mGone;
    private boolean mPaused;
    private long mPausedUntil;
    private final Map<ModelId, Integer> mObservedVersions = new HashMap<>();
    private final PromptCacheView mPromptCache = new PromptCacheView();

    private UpstreamState(Upstream upstream) {
        mUpstream = upstream;
    }

    /** Returns the state of an upstream to which nothing was sent yet. */
    public static UpstreamState of(Upstream upstream) {
        return new UpstreamState(upstream);
    }

    /** Returns the upstream as it is listed in the registry. */
    public Upstream upstream() {
        return mUpstream;
    }

    /**
     * Replaces the listing by a newer one of the same incarnation. A change of the weights versions
     * ends the time in which the upstream rejects requests.
     *
     * @return whether the weights versions changed
     */
    public boolean updateListing(Upstream upstream) {
        boolean changed = !upstream.weightsVersions().equals(mUpstream.weightsVersions());
        if (changed) {
            mRejecting = false;
        }
        mUpstream = upstream;
        return changed;
    }

    /** Records a version of a model's weights that the upstream is known to have. */
    public void recordVersion(ModelId model, int version) {
        mObservedVersions.put(model, version);
    }

    /** Returns the highest known version of the weights for the model of {@code prompt}, or 0. */
    public int knownVersion(Prompt prompt) {
        int listed = mUpstream.weightsVersions().getOrDefault(prompt.model(), 0);
        return Math.max(listed, mObservedVersions.getOrDefault(prompt.model(), 0));
    }

    /**
     * Counts a request that is sent to the upstream.
     *
     * @param pendingTokens the prompt tokens that the upstream has to compute for the request
     */
    public void recordSent(long pendingTokens) {
        mInFlight++;
        mPendingTokens += pendingTokens;
    }

    /**
     * Records that the prompt of a request no longer waits, because the first part of the response
     * arrived or none will.
     *
     * @param pendingTokens the number that {@link #recordSent} got for the request
     */
    public void recordPrefilled(long pendingTokens) {
        mPendingTokens -= pendingTokens;
        checkState(mPendingTokens >= 0, "pending tokens are negative");
    }

    /** Records that a request ended. */
    public void recordEnded() {
        mInFlight--;
        checkState(mInFlight >= 0, "requests in flight are negative");
    }

    /**
     * Records the latency of a response.
     *
     * @param ratio the latency divided by the latency expected of a baseline upstream
     */
    public void recordRelativeLatency(double ratio) {
        double bounded = Math.max(MIN_RELATIVE_LATENCY, Math.min(MAX_RELATIVE_LATENCY, ratio));
        mRelativeLatency += SMOOTHING_FACTOR * (bounded - mRelativeLatency);
    }

    /**
     * Records how long a stream took from its first event to its last one.
     *
     * @param isComplete whether the stream was complete; another one only shows that the upstream
     *     is no faster
     */
    public void recordGeneration(long nanos, int maxOutputTokens, boolean isComplete) {
        if (maxOutputTokens <= 0) {
            return;
        }
        double sample = (double) nanos / maxOutputTokens;
        if (mNanosPerOutputToken == 0) {
            mNanosPerOutputToken = isComplete ? sample : 0;
        } else if (isComplete || sample > mNanosPerOutputToken) {
            mNanosPerOutputToken += SMOOTHING_FACTOR * (sample - mNanosPerOutputToken);
        }
    }

    /**
     * Returns the smoothed time that the upstream takes for each token that a request may generate,
     * in ns, or 0 before the first stream.
     */
    public double nanosPerOutputToken() {
        return mNanosPerOutputToken;
    }

    /**
     * Records the outcome of a response. Any response shows that the upstream is reachable.
     *
     * @param isSuccess whether the response is free of errors that the upstream caused
     */
    public void recordResponse(boolean isSuccess, long now) {
        mErrorRate = errorRate(now) + SMOOTHING_FACTOR * ((isSuccess ? 0 : 1) - errorRate(now));
        mErrorRateUpdatedAt = now;
        mSuspect = false;
        mSuspectNanos = 0;
    }

    /** Records that data arrived from the upstream on any connection. */
    public void recordActivity(long now) {
        mHasBeenActive = true;
        mLastActivityAt = now;
    }

    /**
     * Returns whether data arrived from the upstream in the last {@code nanos} before {@code now}.
     */
    public boolean isActive(long now, long nanos) {
        return mHasBeenActive && now - mLastActivityAt < nanos;
    }

    /**
     * Records that the upstream could not be reached or stopped sending. The upstream is suspect
     * for a time that doubles with each such failure until the next response.
     */
    public void markUnreachable(long now) {
        boolean isFirst = mSuspectNanos == 0;
        mSuspectNanos =
                isFirst ? MIN_SUSPECT_NANOS : Math.min(2 * mSuspectNanos, MAX_SUSPECT_NANOS);
        mSuspectUntil = now + mSuspectNanos;
        mSuspect = true;
    }

    /** Records that the upstream rejects requests for about {@code nanos}. */
    public void markRejecting(long now, long nanos) {
        mRejecting = true;
        mRejectingUntil = now + nanos;
    }

    /** Records that the upstream accepts requests again. */
    public void clearRejecting() {
        mRejecting = false;
    }

    /**
     * Records that the upstream said that it leaves, which holds for the rest of its life.
     *
     * @return whether it was not known to leave
     */
    public boolean recordLeaving() {
        boolean isNew = !isLeaving();
        mLeaving = true;
        return isNew;
    }

    /** Returns whether the upstream is listed as draining, or has said that it leaves. */
    public boolean isLeaving() {
        return mLeaving || mUpstream.draining();
    }

    /**
     * Records that the upstream wants no requests until {@code until}, unless it named a later time
     * before.
     *
     * @return whether the time is later than the known one
     */
    public boolean pauseUntil(long until) {
        if (mPaused && mPausedUntil - until >= 0) {
            return false;
        }
        mPaused = true;
        mPausedUntil = until;
        return true;
    }

    /** Returns the time until the upstream wants requests again, in ns, 0 if it does now. */
    public long pauseNanos(long now) {
        return mPaused ? Math.max(0, mPausedUntil - now) : 0;
    }

    /**
     * Records that the upstream is no longer listed, or has started anew: whoever still holds this
     * state must send it nothing.
     */
    public void markGone() {
        mGone = true;
    }

    /** Returns why the upstream must not get new requests, empty if it may. */
    public Optional<UpstreamObstacle> obstacle(long now) {
        if (mGone) {
            return Optional.of(UpstreamObstacle.GONE);
        }
        if (isLeaving()) {
            return Optional.of(UpstreamObstacle.LEAVING);
        }
        return pauseNanos(now) > 0 ? Optional.of(UpstreamObstacle.PAUSED) : Optional.empty();
    }

    /** Returns whether the upstream may get new requests at all. */
    public boolean acceptsRequests(long now) {
        return obstacle(now).isEmpty();
    }

    /**
     * Returns whether the upstream accepts requests and is neither suspect nor rejecting. Requests
     * should go to available upstreams first.
     */
    public boolean isAvailable(long now) {
        boolean suspect = mSuspect && mSuspectUntil - now > 0;
        boolean rejecting = mRejecting && mRejectingUntil - now > 0;
        return !suspect && !rejecting && acceptsRequests(now);
    }

    /** Returns the number of this instance's requests in flight at the upstream. */
    public int inFlight() {
        return mInFlight;
    }

    /** Returns the prompt tokens that this instance's requests still wait for at the upstream. */
    public long pendingTokens() {
        return mPendingTokens;
    }

    /** Returns the smoothed ratio of the upstream's latency to that of a baseline upstream. */
    public double relativeLatency() {
        return mRelativeLatency;
    }

    /** Returns the smoothed share of failed responses, which decays over time. */
    public double errorRate(long now) {
        double decayNanos = 5e9;
        return mErrorRate * Math.exp(-(now - mErrorRateUpdatedAt) / decayNanos);
    }

    /** Returns the estimated contents of the upstream's prompt cache. */
    public PromptCacheView promptCache() {
        return mPromptCache;
    }
}
