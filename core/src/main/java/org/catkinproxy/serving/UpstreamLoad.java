package org.catkinproxy.serving;

import static com.google.common.base.Preconditions.checkState;

import org.catkinproxy.id.ModelId;

import java.util.HashMap;
import java.util.Map;

/**
 * What one instance believes of one upstream: its load, speed, failures and cached prompts.
 *
 * <p>The belief rests on the requests that this instance sent there, and so lags and is partial.
 * Times are nanoseconds of the owner's monotonic clock. Not safe for use by several threads.
 */
public final class UpstreamLoad {
    private static final double SMOOTHING = 0.2;

    private static final long FIRST_SUSPICION_NANOS = 400_000_000L;
    private static final long LONGEST_SUSPICION_NANOS = 4_000_000_000L;
    private static final double LEAST_SLOWNESS = 0.3;
    private static final double MOST_SLOWNESS = 20;

    private Upstream mUpstream;
    private int mInFlight;
    private long mPendingTokens;
    private double mSlowness = 1;
    private double mErrorShare;
    private long mErrorSeenAt;
    private long mSuspectUntil;
    private long mSuspicion;
    private boolean mSuspected;
    private long mRejectsUntil;
    private long mHeardAt;
    private boolean mHeard;
    private boolean mRejects;
    private final Map<ModelId, Integer> mSeenVersions = new HashMap<>();
    private final CachedPrompts mCached = new CachedPrompts();

    private UpstreamLoad(Upstream upstream) {
        mUpstream = upstream;
    }

    /** Returns the belief about an upstream of which nothing is known yet. */
    public static UpstreamLoad of(Upstream upstream) {
        return new UpstreamLoad(upstream);
    }

    /** Returns the upstream as it is listed. */
    public Upstream upstream() {
        return mUpstream;
    }

    /** Takes another listing of the same start of the upstream; returns whether weights changed. */
    public boolean relist(Upstream upstream) {
        boolean changed = !upstream.weights().equals(mUpstream.weights());
        if (changed) {
            mRejects = false;
        }
        mUpstream = upstream;
        return changed;
    }

    /** Notes the version of a model's weights that an answer named. */
    public void sawVersion(ModelId model, int version) {
        mSeenVersions.put(model, version);
    }

    /** Returns the highest version that the upstream is known to have of {@code prompt}'s model. */
    public int version(Prompt prompt) {
        int listed = mUpstream.weights().getOrDefault(prompt.model(), 0);
        return Math.max(listed, mSeenVersions.getOrDefault(prompt.model(), 0));
    }

    /** Counts a request that is sent there. */
    public void sent(long pendingTokens) {
        mInFlight++;
        mPendingTokens += pendingTokens;
    }

    /** Notes that the first piece of an answer came, or that none will. */
    public void prefilled(long pendingTokens) {
        mPendingTokens -= pendingTokens;
        checkState(mPendingTokens >= 0, "pending tokens are negative");
    }

    /** Notes that a request ended. */
    public void ended() {
        mInFlight--;
        checkState(mInFlight >= 0, "requests in flight are negative");
    }

    /** Notes how long an answer took, relative to what was expected of an ordinary upstream. */
    public void measured(double ratio) {
        double bounded = Math.max(LEAST_SLOWNESS, Math.min(MOST_SLOWNESS, ratio));
        mSlowness += SMOOTHING * (bounded - mSlowness);
    }

    /** Notes an answer, sound or with an error of the upstream's own. */
    public void answered(boolean sound, long now) {
        mErrorShare = errorShare(now) + SMOOTHING * ((sound ? 0 : 1) - errorShare(now));
        mErrorSeenAt = now;
        mSuspected = false;
        mSuspicion = 0;
    }

    /** Notes that something came from the upstream, on any connection. */
    public void heard(long now) {
        mHeard = true;
        mHeardAt = now;
    }

    /** Tells whether something came from the upstream in the last {@code nanos}. */
    public boolean isAudible(long now, long nanos) {
        return mHeard && now - mHeardAt < nanos;
    }

    /** Notes that the upstream could not be reached or went silent. */
    public void unreachable(long now) {
        boolean first = mSuspicion == 0;
        mSuspicion =
                first ? FIRST_SUSPICION_NANOS : Math.min(2 * mSuspicion, LONGEST_SUSPICION_NANOS);
        mSuspectUntil = now + mSuspicion;
        mSuspected = true;
    }

    /** Notes that the upstream takes no requests for about {@code nanos}. */
    public void rejects(long now, long nanos) {
        mRejects = true;
        mRejectsUntil = now + nanos;
    }

    /** Notes that the upstream takes requests again. */
    public void acceptsAgain() {
        mRejects = false;
    }

    /** Tells whether it should get requests at {@code now} if another one can. */
    public boolean isFit(long now) {
        boolean suspect = mSuspected && mSuspectUntil - now > 0;
        boolean rejecting = mRejects && mRejectsUntil - now > 0;
        return !suspect && !rejecting && !mUpstream.leaving();
    }

    /** Returns the requests of this instance that run there. */
    public int inFlight() {
        return mInFlight;
    }

    /** Returns the prompt tokens that this instance's requests still wait for. */
    public long pendingTokens() {
        return mPendingTokens;
    }

    /** Returns how long it takes, relative to an ordinary upstream. */
    public double slowness() {
        return mSlowness;
    }

    /** Returns the share of errors among its late answers; it fades as time passes without any. */
    public double errorShare(long now) {
        double fadeNanos = 5e9;
        return mErrorShare * Math.exp(-(now - mErrorSeenAt) / fadeNanos);
    }

    /** Returns what it is believed to have cached. */
    public CachedPrompts cached() {
        return mCached;
    }
}
