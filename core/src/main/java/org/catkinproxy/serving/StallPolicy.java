package org.catkinproxy.serving;

/**
 * Decides after which silence a request is retried at another upstream.
 *
 * <p>The policy covers engines that stop sending within a stream and upstreams that hang. An engine
 * that responds to other requests while one request waits has a queue and gets more time, because a
 * retry would only lengthen the queue. Stateless and thread-safe.
 */
public final class StallPolicy {
    /** Maximum silence of a stream before it is resumed at another upstream, if that is allowed. */
    private static final long STALLED_STREAM_NANOS = 1_100_000_000L;

    /** Maximum silence of a stream that has not begun at an engine that answers other requests. */
    private static final long QUEUED_STREAM_NANOS = 2_300_000_000L;

    /** Latency targets after which a unary request that is safe to retry goes elsewhere. */
    private static final double STALLED_LATENCY_TARGETS = 1.8;

    private StallPolicy() {}

    /**
     * Returns when a request counts as stalled, in ns of the owner's monotonic clock.
     *
     * @param startedAt when the request was sent, in ns
     * @param lastActivityAt when the latest part of the response arrived, or else when the request
     *     was sent, in ns
     * @param hasBegun whether the first event of a stream has arrived
     * @param isActive whether the upstream answers other requests
     */
    public static long stalledAt(
            Route route, long startedAt, long lastActivityAt, boolean hasBegun, boolean isActive) {
        if (route.kind() == CallKind.STREAM) {
            return lastActivityAt
                    + (hasBegun || !isActive ? STALLED_STREAM_NANOS : QUEUED_STREAM_NANOS);
        }
        return startedAt + (long) (STALLED_LATENCY_TARGETS * route.latencyTarget().toNanos());
    }

    /**
     * Returns the maximum silence, on all connections, of an upstream that counts as active, in ns.
     */
    public static long activityWindowNanos() {
        return STALLED_STREAM_NANOS / 2;
    }
}
