package org.catkinproxy.route;

import com.google.common.hash.Hashing;

import org.catkinproxy.cache.BlockIndex;
import org.catkinproxy.id.BlockKey;
import org.catkinproxy.id.EngineId;
import org.catkinproxy.id.Incarnation;
import org.catkinproxy.id.PoolId;
import org.catkinproxy.id.RequestId;
import org.catkinproxy.id.Weights;

import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * Everything this router believes of one engine.
 *
 * <p>Invariants: only a load report begins an incarnation; an incarnation that was replaced never
 * comes back; attempts of an earlier incarnation count for nothing. Once unavailable, the engine
 * stays so until it reports a new incarnation or is said to be available. Not safe for use by
 * several threads.
 */
final class EngineState {
    private static final long REPORT_TIMEOUT_NANOS = 3_000_000_000L;
    private static final long FORGET_NANOS = 600_000_000_000L;
    private static final long MILLI = 1_000_000L;

    private final EngineId mId;
    private final int mNumber;
    private final long mIdHash;
    private final BlockIndex mIndex;
    private final Residence mResidence = new Residence();
    private final CacheFeed mFeed;
    private final Map<RequestId, Attempt> mAttempts = new LinkedHashMap<>();
    private final Set<Incarnation> mRetired = new HashSet<>();
    private final LoadEstimate mLoad = new LoadEstimate();
    private EngineReport mReport;
    private long mHeardNanos;
    private boolean mAvailable = true;

    EngineState(EngineId id, int number, BlockIndex index, long nowNanos) {
        mHeardNanos = nowNanos;
        mId = id;
        mNumber = number;
        mIdHash = Hashing.murmur3_128().hashString(id.value(), StandardCharsets.UTF_8).asLong();
        mIndex = index;
        mFeed = new CacheFeed(index, number, mResidence);
    }

    /** A hash of the id, the same in every process. */
    long idHash() {
        return mIdHash;
    }

    EngineId id() {
        return mId;
    }

    int number() {
        return mNumber;
    }

    EngineReport report() {
        return mReport;
    }

    CacheFeed feed() {
        return mFeed;
    }

    LoadEstimate load() {
        return mLoad;
    }

    void setAvailable(boolean available) {
        mAvailable = available;
    }

    /** Tells whether new work may be sent to it. */
    boolean isFit(long nowNanos) {
        return mReport != null && mAvailable && nowNanos - mHeardNanos <= REPORT_TIMEOUT_NANOS;
    }

    boolean isPresent(Incarnation incarnation) {
        return mReport != null && mReport.incarnation().equals(incarnation);
    }

    /** Tells whether nothing was heard for so long that it can be forgotten. */
    boolean isForgettable(long nowNanos) {
        return mAttempts.isEmpty() && nowNanos - mHeardNanos > FORGET_NANOS;
    }

    /** Tells whether it serves a request's weights in a request's pool. */
    boolean serves(PoolId pool, Weights weights) {
        return mReport != null
                && mReport.pool().equals(pool)
                && mReport.weights().contains(weights);
    }

    /** Takes a load report in; one of an earlier incarnation is ignored. */
    void accept(long nowNanos, EngineReport report) {
        if (mRetired.contains(report.incarnation())) {
            return;
        }
        if (!isPresent(report.incarnation())) {
            begin();
        }
        mReport = report;
        mHeardNanos = nowNanos;
        mLoad.accept(nowNanos - report.ageMillis() * MILLI, report, mAttempts.values());
        mIndex.limitAge(mNumber, mResidence.limitNanos());
    }

    void start(Attempt attempt) {
        mAttempts.put(attempt.mRequest.id(), attempt);
        mLoad.sent(attempt);
    }

    Attempt attempt(RequestId request) {
        return mAttempts.get(request);
    }

    /** Notes how much of the prompt must really be computed. */
    void correct(Attempt attempt, long uncachedTokens) {
        if (attempt.mFirstTokenNanos < 0) {
            mLoad.corrected(attempt, uncachedTokens);
        }
    }

    /** Notes that the engine computes, and so will hold, the blocks of a request. */
    void learn(long nowNanos, RouteRequest request) {
        for (BlockKey key : request.blocks().keys()) {
            mIndex.put(key, mNumber, nowNanos);
        }
    }

    void firstToken(long nowNanos, Attempt attempt) {
        mLoad.corrected(attempt, 0);
        attempt.mFirstTokenNanos = nowNanos;
    }

    /** Ends an attempt; one of an earlier incarnation is not known any more. */
    void end(long nowNanos, RequestId request) {
        Attempt attempt = mAttempts.remove(request);
        if (attempt != null) {
            mLoad.ended(nowNanos, attempt);
        }
    }

    RouteEvent.InFlight inFlight() {
        return mLoad.inFlight();
    }

    private void begin() {
        if (mReport != null) {
            mRetired.add(mReport.incarnation());
        }
        mAttempts.clear();
        mLoad.restart();
        mFeed.restart();
        mAvailable = true;
    }
}
