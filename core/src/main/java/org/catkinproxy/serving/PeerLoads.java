package org.catkinproxy.serving;

import static com.google.common.base.Preconditions.checkArgument;

import org.catkinproxy.id.InstanceId;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;

/**
 * The load that the other instances reported for each upstream.
 *
 * <p>In a large fleet each instance sends a small part of the traffic, so its own requests say
 * little about an upstream's queue. A peer's report is valid until its next report, or until the
 * owner expires it. Times are in nanoseconds of the owner's monotonic clock. Not thread-safe.
 */
public final class PeerLoads {
    private static final Load NO_LOAD = new Load(0, 0);

    private final Map<InstanceId, Report> mReports = new HashMap<>();
    private final Map<InstanceId, Load> mTotals = new HashMap<>();

    /**
     * The load of one upstream.
     *
     * @param requests the number of requests that run or wait at the upstream
     * @param pendingTokens the prompt tokens that these requests still wait for
     * @param timedRequests the requests of instances that know the time for an output token there
     * @param generationMicros that time, in microseconds, times {@code timedRequests}, so that the
     *     sum of several loads yields their weighted mean
     */
    public record Load(int requests, long pendingTokens, int timedRequests, long generationMicros) {
        private static final double NANOS_PER_MICRO = 1_000;

        /** Validates the components. */
        public Load {
            checkArgument(requests >= 0, "requests is negative: %s", requests);
            checkArgument(pendingTokens >= 0, "pendingTokens is negative: %s", pendingTokens);
            checkArgument(timedRequests >= 0, "timedRequests is negative: %s", timedRequests);
            checkArgument(
                    generationMicros >= 0, "generationMicros is negative: %s", generationMicros);
        }

        /** Creates a load of an upstream whose time for an output token is not known. */
        public Load(int requests, long pendingTokens) {
            this(requests, pendingTokens, 0, 0);
        }

        /** Returns this load with a time for an output token, in ns, 0 if not known. */
        public Load withNanosPerOutputToken(double nanos) {
            int timed = nanos > 0 ? requests : 0;
            return new Load(
                    requests, pendingTokens, timed, (long) (nanos / NANOS_PER_MICRO) * timed);
        }

        /** Returns the mean time for an output token, in ns, or 0 if not known. */
        public double nanosPerOutputToken() {
            return timedRequests == 0 ? 0 : NANOS_PER_MICRO * generationMicros / timedRequests;
        }

        private Load plus(Load other) {
            return new Load(
                    requests + other.requests,
                    pendingTokens + other.pendingTokens,
                    timedRequests + other.timedRequests,
                    generationMicros + other.generationMicros);
        }

        private Load minus(Load other) {
            return new Load(
                    requests - other.requests,
                    pendingTokens - other.pendingTokens,
                    timedRequests - other.timedRequests,
                    generationMicros - other.generationMicros);
        }
    }

    /** The latest report of one peer, by upstream. */
    private record Report(Map<InstanceId, Load> loads, long receivedAt) {}

    private PeerLoads() {}

    /** Returns an object without any reports. */
    public static PeerLoads create() {
        return new PeerLoads();
    }

    /** Replaces the loads, by upstream, of all requests that {@code peer} has open. */
    public void update(InstanceId peer, Map<InstanceId, Load> loads, long now) {
        subtract(mReports.put(peer, new Report(Map.copyOf(loads), now)));
        loads.forEach((upstream, load) -> mTotals.merge(upstream, load, Load::plus));
    }

    /** Drops the reports that are older than {@code ttlNanos}. */
    public void expire(long now, long ttlNanos) {
        Iterator<Report> reports = mReports.values().iterator();
        while (reports.hasNext()) {
            Report report = reports.next();
            if (now - report.receivedAt() > ttlNanos) {
                reports.remove();
                subtract(report);
            }
        }
    }

    private void subtract(Report report) {
        if (report == null) {
            return;
        }
        report.loads()
                .forEach(
                        (upstream, load) ->
                                mTotals.computeIfPresent(
                                        upstream, (id, total) -> remainder(total, load)));
    }

    private static Load remainder(Load total, Load load) {
        Load rest = total.minus(load);
        return rest.equals(NO_LOAD) ? null : rest;
    }

    /** Returns the load of all peers together at {@code upstream}. */
    public Load total(InstanceId upstream) {
        return mTotals.getOrDefault(upstream, NO_LOAD);
    }

    /** Returns how many requests all peers together have open at all upstreams. */
    public int totalRequests() {
        return mTotals.values().stream().mapToInt(Load::requests).sum();
    }

    /** Returns the number of peers with a valid report. */
    public int peerCount() {
        return mReports.size();
    }
}
