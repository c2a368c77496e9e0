package org.catkinproxy.route;

import org.catkinproxy.cache.PromptBlocks;
import org.catkinproxy.config.Priority;
import org.catkinproxy.id.InstanceId;

import java.util.Arrays;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * How long a new request would wait at one engine before its prompt is computed.
 *
 * <p>The engine's report lags, so what this router sent since the report was made is added, and the
 * result is never below what this router and its peers know to be in flight. Constant time but for
 * a report, which takes time linear in the attempts, and for peers' figures, linear in the peers.
 * Not safe for use by several threads.
 */
final class LoadEstimate {
    private static final double NANOS_PER_SECOND = 1e9;
    private static final long PEER_TIMEOUT_NANOS = 2_000_000_000L;
    private static final double INITIAL_DECODE_NANOS = 1e9;
    private static final double DECODE_GAIN = 0.05;

    private static final double SENT_GAIN = 0.02;

    /** How much weight the usual division has against what is in flight now. */
    private static final double PRIOR_TOKENS = 8_192;

    private final Map<InstanceId, PeerFigure> mPeers = new HashMap<>();
    private EngineReport mReport;
    private long mReportNanos;
    private int mOwnRequests;
    private long mOwnTokens;
    private int mUnseenRequests;
    private long mUnseenTokens;
    private int mPeerRequests;
    private long mPeerTokens;
    private final long[] mOwnByPriority = new long[Priority.values().length];
    private final double[] mSentByPriority = new double[Priority.values().length];
    private double mDecodeNanos = INITIAL_DECODE_NANOS;

    private record PeerFigure(long atNanos, RouteEvent.InFlight inFlight) {}

    void restart() {
        mOwnRequests = 0;
        mOwnTokens = 0;
        mUnseenRequests = 0;
        mUnseenTokens = 0;
        Arrays.fill(mOwnByPriority, 0);
        mPeers.clear();
        sumPeers();
    }

    /** Takes in a report made at {@code madeNanos}; later attempts are not in it. */
    void accept(long madeNanos, EngineReport report, Collection<Attempt> attempts) {
        mReport = report;
        mReportNanos = madeNanos;
        mUnseenRequests = 0;
        mUnseenTokens = 0;
        for (Attempt attempt : attempts) {
            if (isUnseen(attempt)) {
                mUnseenRequests++;
                mUnseenTokens += attempt.mUncachedTokens;
            }
        }
    }

    void sent(Attempt attempt) {
        int priority = attempt.mRequest.priority().ordinal();
        mOwnByPriority[priority] += attempt.mUncachedTokens;
        for (int i = 0; i < mSentByPriority.length; i++) {
            mSentByPriority[i] *= 1 - SENT_GAIN;
        }
        mSentByPriority[priority] += SENT_GAIN * attempt.mUncachedTokens;
        mOwnRequests++;
        mOwnTokens += attempt.mUncachedTokens;
        mUnseenRequests++;
        mUnseenTokens += attempt.mUncachedTokens;
    }

    void corrected(Attempt attempt, long uncachedTokens) {
        long change = uncachedTokens - attempt.mUncachedTokens;
        attempt.mUncachedTokens = uncachedTokens;
        mOwnTokens += change;
        mOwnByPriority[attempt.mRequest.priority().ordinal()] += change;
        if (isUnseen(attempt)) {
            mUnseenTokens += change;
        }
    }

    void ended(long nowNanos, Attempt attempt) {
        corrected(attempt, 0);
        mOwnRequests--;
        if (isUnseen(attempt)) {
            mUnseenRequests--;
        }
        if (attempt.mFirstTokenNanos >= 0) {
            double decode = nowNanos - attempt.mFirstTokenNanos;
            mDecodeNanos += DECODE_GAIN * (decode - mDecodeNanos);
        }
    }

    void peer(long nowNanos, InstanceId peer, RouteEvent.InFlight inFlight) {
        mPeers.put(peer, new PeerFigure(nowNanos, inFlight));
        sumPeers();
    }

    void expirePeers(long nowNanos) {
        if (mPeers.values().removeIf(p -> nowNanos - p.atNanos() > PEER_TIMEOUT_NANOS)) {
            sumPeers();
        }
    }

    RouteEvent.InFlight inFlight() {
        return new RouteEvent.InFlight(mOwnRequests, mOwnTokens);
    }

    /**
     * Returns the expected wait, in nanoseconds, behind what is at least as urgent.
     *
     * <p>Reports and peers do not tell urgent work from other work: it is divided in the proportion
     * of what this router has in flight there and has sent before.
     */
    long queueNanos(long nowNanos, Priority priority) {
        double all = backlogNanos(nowNanos);
        double prefill = Math.max(Math.min(all, chunkNanos()), all * shareAhead(priority));
        return (long) Math.max(prefill, slotNanos());
    }

    /** Returns the time, in nanoseconds, to compute all prompts that the engine has. */
    double backlogNanos(long nowNanos) {
        double computed =
                (nowNanos - mReportNanos) / NANOS_PER_SECOND * mReport.prefillTokensPerSecond();
        double reported = Math.max(0, mReport.queuedTokens() - computed) + mUnseenTokens;
        double tokens = Math.max(reported, (double) mOwnTokens + mPeerTokens);
        return tokens / mReport.prefillTokensPerSecond() * NANOS_PER_SECOND;
    }

    /** Returns the mean rest of a chunk that is being computed; it is not interrupted. */
    private double chunkNanos() {
        double tokens = PromptBlocks.TOKENS_PER_BLOCK / 2.0;
        return tokens / mReport.prefillTokensPerSecond() * NANOS_PER_SECOND;
    }

    private double shareAhead(Priority priority) {
        double ahead = 0;
        double all = 0;
        double usual = 0;
        for (double tokens : mSentByPriority) {
            usual += tokens;
        }
        for (int i = 0; i < mOwnByPriority.length; i++) {
            double own = mOwnByPriority[i];
            if (usual > 0) {
                own += PRIOR_TOKENS * mSentByPriority[i] / usual;
            }
            all += own;
            if (i <= priority.ordinal()) {
                ahead += own;
            }
        }
        return all > 0 ? ahead / all : 1;
    }

    private double slotNanos() {
        int reported = mReport.running() + mReport.queued() + mUnseenRequests;
        int requests = Math.max(reported, mOwnRequests + mPeerRequests);
        int ahead = requests - mReport.slots() + 1;
        return ahead <= 0 ? 0 : ahead * mDecodeNanos / mReport.slots();
    }

    private boolean isUnseen(Attempt attempt) {
        return attempt.mSentNanos >= mReportNanos;
    }

    private void sumPeers() {
        mPeerRequests = 0;
        mPeerTokens = 0;
        for (PeerFigure figure : mPeers.values()) {
            mPeerRequests += figure.inFlight().requests();
            mPeerTokens += figure.inFlight().uncachedTokens();
        }
    }
}
