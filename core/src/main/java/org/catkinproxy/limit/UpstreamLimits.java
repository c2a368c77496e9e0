package org.catkinproxy.limit;

import org.catkinproxy.id.InstanceId;
import org.catkinproxy.serving.UpstreamStart;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.Set;

/**
 * The limits that upstreams named in their responses, and what this instance may send to them.
 *
 * <p>A limit holds for all instances together, also for those that did not get the response. So
 * instances report limits to each other; of several reports, the newest response counts. A limit
 * ends with a response that names none, with the process of the upstream, or when no response has
 * confirmed it for long. Not thread-safe.
 */
public final class UpstreamLimits {
    /** Time after which a limit that no response confirms has ended. */
    private static final long LIFETIME_NANOS = 60_000_000_000L;

    /** Limit for the upstreams in a report, which keeps it within one datagram. */
    private static final int MAX_REPORTED = 100;

    private final InstanceId mSelf;
    private final Map<UpstreamStart, RequestLimit> mLimits = new HashMap<>();
    private final Map<UpstreamStart, TokenBucket> mBuckets = new HashMap<>();
    private Set<InstanceId> mOthers = Set.of();

    private UpstreamLimits(InstanceId self) {
        mSelf = self;
    }

    /** Returns an object of the instance {@code self} that knows no limit. */
    public static UpstreamLimits of(InstanceId self) {
        return new UpstreamLimits(self);
    }

    /** Sets the other instances that send requests. */
    public void setOtherInstances(Set<InstanceId> others, long now) {
        if (!others.equals(mOthers)) {
            mOthers = Set.copyOf(others);
            mLimits.values().forEach(l -> updateShare(l, now));
        }
    }

    /**
     * Records what a response said.
     *
     * @param perSecond the limit, empty if the upstream named none
     * @return whether that is news
     */
    public boolean recordResponse(UpstreamStart upstream, OptionalDouble perSecond, long now) {
        if (perSecond.isEmpty() && !mLimits.containsKey(upstream)) {
            return false;
        }
        return update(new RequestLimit(upstream, perSecond, now), now);
    }

    /**
     * Adds what another instance reported.
     *
     * @return the limits that are news
     */
    public List<RequestLimit> merge(LimitReport report, long now) {
        List<RequestLimit> news = new ArrayList<>();
        for (RequestLimit limit : report.plusNanos(now).limits()) {
            boolean isExpired = now - limit.respondedAt() >= LIFETIME_NANOS;
            if (!isExpired && update(limit, now)) {
                news.add(limit);
            }
        }
        return news;
    }

    private boolean update(RequestLimit limit, long now) {
        RequestLimit known = mLimits.get(limit.upstream());
        if (known != null && limit.respondedAt() - known.respondedAt() <= 0) {
            return false;
        }
        mLimits.put(limit.upstream(), limit);
        if (known == null || !limit.perSecond().equals(known.perSecond())) {
            updateShare(limit, now);
        }
        return known == null ? limit.perSecond().isPresent() : limit.differsFrom(known);
    }

    private void updateShare(RequestLimit limit, long now) {
        if (limit.perSecond().isEmpty()) {
            mBuckets.remove(limit.upstream());
            return;
        }
        LimitShare share =
                LimitShare.of(limit.upstream(), limit.perSecond().getAsDouble(), mSelf, mOthers);
        mBuckets.computeIfAbsent(limit.upstream(), k -> new TokenBucket(now)).setShare(share, now);
    }

    /** Returns whether a request may be sent to an upstream now. */
    public boolean isAllowed(UpstreamStart upstream, long now) {
        TokenBucket bucket = mBuckets.get(upstream);
        return bucket == null || bucket.hasToken(now);
    }

    /** Returns whether nothing is known of any limit. */
    public boolean isEmpty() {
        return mLimits.isEmpty();
    }

    /** Returns whether this instance has saved as many requests to an upstream as it may. */
    public boolean hasSpare(UpstreamStart upstream, long now) {
        TokenBucket bucket = mBuckets.get(upstream);
        return bucket == null || bucket.isFull(now);
    }

    /** Returns whether there is a limit for any upstream. */
    public boolean isAnyLimited() {
        return !mBuckets.isEmpty();
    }

    /**
     * Counts a request that is sent to an upstream. One that is not allowed, such as a stream that
     * can resume nowhere else, delays the next.
     */
    public void recordSent(UpstreamStart upstream, long now) {
        TokenBucket bucket = mBuckets.get(upstream);
        if (bucket != null) {
            bucket.take(now);
        }
    }

    /**
     * Returns the time until a request may be sent to a limited upstream, in ns, empty if this
     * instance may send none.
     */
    public OptionalLong nanosUntilAllowed(UpstreamStart upstream, long now) {
        TokenBucket bucket = mBuckets.get(upstream);
        return bucket == null ? OptionalLong.of(0) : bucket.nanosUntilToken(now);
    }

    /** Drops the limits of processes that have ended, and those that no response confirms. */
    public void expire(Set<UpstreamStart> running, long now) {
        mLimits.values()
                .removeIf(
                        l ->
                                now - l.respondedAt() >= LIFETIME_NANOS
                                        || !running.contains(l.upstream()));
        mBuckets.keySet().retainAll(mLimits.keySet());
    }

    /** Returns what the other instances should know; the times are relative to {@code now}. */
    public LimitReport report(long now) {
        List<RequestLimit> newest =
                mLimits.values().stream()
                        .sorted(Comparator.comparingLong(l -> now - l.respondedAt()))
                        .limit(MAX_REPORTED)
                        .toList();
        return new LimitReport(newest).plusNanos(-now);
    }
}
