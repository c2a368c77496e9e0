package org.catkinproxy.route;

import org.catkinproxy.cache.PromptBlocks;
import org.catkinproxy.config.Priority;
import org.catkinproxy.id.InstanceId;

import java.util.Arrays;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * Estimates how long a new request would wait at one engine before its prompt is computed.
 *
 * <p>The engine's report lags behind its state, so work that this router sent after the report was
 * made is added, and the estimate is never below the work that this router and its peers have in
 * flight. Operations take constant time, except applying a report, which is linear in the attempts,
 * and updates of peers, which are linear in the peers. Not thread-safe.
 */
final class LoadEstimate {
    private static final double NANOS_PER_SECOND = 1e9;
    private static final long PEER_TIMEOUT_NANOS = 2_000_000_000L;
    private static final double INITIAL_DECODE_NANOS = 1e9;
    private static final double DECODE_SMOOTHING_FACTOR = 0.05;
    private static final double SENT_SMOOTHING_FACTOR = 0.02;

    /**
     * The number of own tokens in flight whose division among priorities counts as much as the
     * average division of the tokens sent before.
     */
    private static final double PRIOR_TOKENS = 8_192;

    private final Map<InstanceId, PeerInFlight> mPeers = new HashMap<>();
    private EngineReport mReport;
    private long mReportNanos;
    private int mOwnRequests;
    private long mOwnTokens;
    private int mUnreportedRequests;
    private long mUnreportedTokens;
    private int mPeerRequests;
    private long mPeerTokens;
    private final long[] mOwnTokensByPriority = new long[Priority.values().length];
    private final double[] mMeanSentTokensByPriority = new double[Priority.values().length];
    private double mMeanDecodeNanos = INITIAL_DECODE_NANOS;

    private record PeerInFlight(long receivedNanos, RouteEvent.InFlight inFlight) {}

    void reset() {
        mOwnRequests = 0;
        mOwnTokens = 0;
        mUnreportedRequests = 0;
        mUnreportedTokens = 0;
        Arrays.fill(mOwnTokensByPriority, 0);
        mPeers.clear();
        sumPeers();
    }

    /** Applies a report made at {@code madeNanos}, which does not include later attempts. */
    void applyReport(long madeNanos, EngineReport report, Collection<Attempt> attempts) {
        mReport = report;
        mReportNanos = madeNanos;
        mUnreportedRequests = 0;
        mUnreportedTokens = 0;
        for (Attempt attempt : attempts) {
            if (isUnreported(attempt)) {
                mUnreportedRequests++;
                mUnreportedTokens += attempt.mUncachedTokens;
            }
        }
    }

    void addAttempt(Attempt attempt) {
        int priority = attempt.mRequest.priority().ordinal();
        mOwnTokensByPriority[priority] += attempt.mUncachedTokens;
        for (int i = 0; i < mMeanSentTokensByPriority.length; i++) {
            mMeanSentTokensByPriority[i] *= 1 - SENT_SMOOTHING_FACTOR;
        }
        mMeanSentTokensByPriority[priority] += SENT_SMOOTHING_FACTOR * attempt.mUncachedTokens;
        mOwnRequests++;
        mOwnTokens += attempt.mUncachedTokens;
        mUnreportedRequests++;
        mUnreportedTokens += attempt.mUncachedTokens;
    }

    void setUncachedTokens(Attempt attempt, long uncachedTokens) {
        long change = uncachedTokens - attempt.mUncachedTokens;
        attempt.mUncachedTokens = uncachedTokens;
        mOwnTokens += change;
        mOwnTokensByPriority[attempt.mRequest.priority().ordinal()] += change;
        if (isUnreported(attempt)) {
            mUnreportedTokens += change;
        }
    }

    void removeAttempt(long nowNanos, Attempt attempt) {
        setUncachedTokens(attempt, 0);
        mOwnRequests--;
        if (isUnreported(attempt)) {
            mUnreportedRequests--;
        }
        if (attempt.mFirstTokenNanos >= 0) {
            double decode = nowNanos - attempt.mFirstTokenNanos;
            mMeanDecodeNanos += DECODE_SMOOTHING_FACTOR * (decode - mMeanDecodeNanos);
        }
    }

    void setPeerInFlight(long nowNanos, InstanceId peer, RouteEvent.InFlight inFlight) {
        mPeers.put(peer, new PeerInFlight(nowNanos, inFlight));
        sumPeers();
    }

    void expirePeers(long nowNanos) {
        if (mPeers.values().removeIf(p -> nowNanos - p.receivedNanos() > PEER_TIMEOUT_NANOS)) {
            sumPeers();
        }
    }

    RouteEvent.InFlight inFlight() {
        return new RouteEvent.InFlight(mOwnRequests, mOwnTokens);
    }

    /**
     * Returns the expected wait, in nanoseconds, behind work of the same or a higher priority.
     *
     * <p>Reports of engines and peers do not divide work by priority, so the backlog is divided in
     * proportion to what this router has in flight at the engine and has sent to it before.
     */
    long queueNanos(long nowNanos, Priority priority) {
        double all = backlogNanos(nowNanos);
        double prefill =
                Math.max(Math.min(all, chunkRemainderNanos()), all * fractionAhead(priority));
        return (long) Math.max(prefill, slotWaitNanos());
    }

    /** Returns the time, in nanoseconds, to compute all prompts that are at the engine. */
    double backlogNanos(long nowNanos) {
        double computed =
                (nowNanos - mReportNanos) / NANOS_PER_SECOND * mReport.prefillTokensPerSecond();
        double reported = Math.max(0, mReport.queuedTokens() - computed) + mUnreportedTokens;
        double tokens = Math.max(reported, (double) mOwnTokens + mPeerTokens);
        return tokens / mReport.prefillTokensPerSecond() * NANOS_PER_SECOND;
    }

    /** Returns the mean time left for a prompt chunk in progress, which is not preempted. */
    private double chunkRemainderNanos() {
        double tokens = PromptBlocks.TOKENS_PER_BLOCK / 2.0;
        return tokens / mReport.prefillTokensPerSecond() * NANOS_PER_SECOND;
    }

    private double fractionAhead(Priority priority) {
        double ahead = 0;
        double all = 0;
        double sent = 0;
        for (double tokens : mMeanSentTokensByPriority) {
            sent += tokens;
        }
        for (int i = 0; i < mOwnTokensByPriority.length; i++) {
            double own = mOwnTokensByPriority[i];
            if (sent > 0) {
                own += PRIOR_TOKENS * mMeanSentTokensByPriority[i] / sent;
            }
            all += own;
            if (i <= priority.ordinal()) {
                ahead += own;
            }
        }
        return all > 0 ? ahead / all : 1;
    }

    private double slotWaitNanos() {
        int reported = mReport.running() + mReport.queued() + mUnreportedRequests;
        int requests = Math.max(reported, mOwnRequests + mPeerRequests);
        int ahead = requests - mReport.slots() + 1;
        return ahead <= 0 ? 0 : ahead * mMeanDecodeNanos / mReport.slots();
    }

    private boolean isUnreported(Attempt attempt) {
        return attempt.mSentNanos >= mReportNanos;
    }

    private void sumPeers() {
        mPeerRequests = 0;
        mPeerTokens = 0;
        for (PeerInFlight peer : mPeers.values()) {
            mPeerRequests += peer.inFlight().requests();
            mPeerTokens += peer.inFlight().uncachedTokens();
        }
    }
}
