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
 * What this router knows and estimates about one engine.
 *
 * <p>Invariants: only a load report starts an incarnation; an incarnation that was replaced never
 * becomes current again; attempts of an earlier incarnation are not counted. An unavailable engine
 * stays unavailable until it reports a new incarnation or {@link #setAvailable} makes it available.
 * Not thread-safe.
 */
final class EngineState {
    private static final long REPORT_TIMEOUT_NANOS = 3_000_000_000L;
    private static final long RETENTION_NANOS = 600_000_000_000L;
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final EngineId mId;
    private final int mNumber;
    private final long mIdHash;
    private final BlockIndex mIndex;
    private final BlockLifetimeEstimate mBlockLifetime = new BlockLifetimeEstimate();
    private final CacheEventApplier mCacheEvents;
    private final Map<RequestId, Attempt> mAttempts = new LinkedHashMap<>();
    private final Set<Incarnation> mRetiredIncarnations = new HashSet<>();
    private final LoadEstimate mLoad = new LoadEstimate();
    private EngineReport mReport;
    private long mLastSeenNanos;
    private boolean mAvailable = true;

    EngineState(EngineId id, int number, BlockIndex index, long nowNanos) {
        mLastSeenNanos = nowNanos;
        mId = id;
        mNumber = number;
        mIdHash = Hashing.murmur3_128().hashString(id.value(), StandardCharsets.UTF_8).asLong();
        mIndex = index;
        mCacheEvents = new CacheEventApplier(index, number, mBlockLifetime);
    }

    /** Returns a hash of the id that is the same in all processes. */
    long idHash() {
        return mIdHash;
    }

    EngineId id() {
        return mId;
    }

    int number() {
        return mNumber;
    }

    /** Returns the latest report, or null. */
    EngineReport report() {
        return mReport;
    }

    CacheEventApplier cacheEvents() {
        return mCacheEvents;
    }

    LoadEstimate load() {
        return mLoad;
    }

    void setAvailable(boolean available) {
        mAvailable = available;
    }

    /** Returns whether the engine may get new requests: it is available and reported recently. */
    boolean isRoutable(long nowNanos) {
        return mReport != null && mAvailable && nowNanos - mLastSeenNanos <= REPORT_TIMEOUT_NANOS;
    }

    boolean isCurrentIncarnation(Incarnation incarnation) {
        return mReport != null && mReport.incarnation().equals(incarnation);
    }

    /** Returns whether the engine has no attempts and has not reported for the retention time. */
    boolean isExpired(long nowNanos) {
        return mAttempts.isEmpty() && nowNanos - mLastSeenNanos > RETENTION_NANOS;
    }

    /** Returns whether the engine belongs to the pool and has the weights loaded. */
    boolean serves(PoolId pool, Weights weights) {
        return mReport != null
                && mReport.pool().equals(pool)
                && mReport.weights().contains(weights);
    }

    /** Applies a load report, unless it is of an earlier incarnation. */
    void applyReport(long nowNanos, EngineReport report) {
        if (mRetiredIncarnations.contains(report.incarnation())) {
            return;
        }
        if (!isCurrentIncarnation(report.incarnation())) {
            beginIncarnation();
        }
        mReport = report;
        mLastSeenNanos = nowNanos;
        mLoad.applyReport(
                nowNanos - report.ageMillis() * NANOS_PER_MILLI, report, mAttempts.values());
        mIndex.setAgeLimit(mNumber, mBlockLifetime.ageLimitNanos());
    }

    void addAttempt(Attempt attempt) {
        mAttempts.put(attempt.mRequest.id(), attempt);
        mLoad.addAttempt(attempt);
    }

    /** Returns the attempt of the request at the current incarnation, or null. */
    Attempt attempt(RequestId request) {
        return mAttempts.get(request);
    }

    /**
     * Sets the prompt tokens that the engine has to compute for an attempt, as reported by it.
     *
     * <p>Has no effect once the first token was received.
     */
    void setUncachedTokens(Attempt attempt, long uncachedTokens) {
        if (attempt.mFirstTokenNanos < 0) {
            mLoad.setUncachedTokens(attempt, uncachedTokens);
        }
    }

    /** Records the blocks of a dispatched request, which the engine's cache will hold soon. */
    void recordBlocks(long nowNanos, RouteRequest request) {
        for (BlockKey key : request.blocks().keys()) {
            mIndex.put(key, mNumber, nowNanos);
        }
    }

    void recordFirstToken(long nowNanos, Attempt attempt) {
        mLoad.setUncachedTokens(attempt, 0);
        attempt.mFirstTokenNanos = nowNanos;
    }

    /** Ends the attempt of a request; has no effect if it was at an earlier incarnation. */
    void endAttempt(long nowNanos, RequestId request) {
        Attempt attempt = mAttempts.remove(request);
        if (attempt != null) {
            mLoad.removeAttempt(nowNanos, attempt);
        }
    }

    RouteEvent.InFlight inFlight() {
        return mLoad.inFlight();
    }

    private void beginIncarnation() {
        if (mReport != null) {
            mRetiredIncarnations.add(mReport.incarnation());
        }
        mAttempts.clear();
        mLoad.reset();
        mCacheEvents.reset();
        mAvailable = true;
    }
}
