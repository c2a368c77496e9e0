package org.catkinproxy.serving;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import org.catkinproxy.id.ServiceId;

import java.time.Duration;
import java.util.Collections;
import java.util.List;

/**
 * The destination and the handling of requests for one host and path prefix.
 *
 * <p>Immutable and thread-safe.
 *
 * @param name the route's name
 * @param host the host that the route serves
 * @param pathPrefix the path prefix, with a slash at both ends
 * @param kind the execution semantics of the route's requests
 * @param resumable whether a broken stream may be resumed at another upstream
 * @param isPublic whether requests need no API key
 * @param priority the priority of the route's requests; 0 is the most urgent
 * @param maxAttempts the maximum number of upstreams that may execute one request
 * @param timeout the maximum time until the whole response
 * @param latencyTarget the target latency: a response within this time is worth most
 * @param eventGapTarget the longest gap between two events of a stream that callers still consider
 *     timely
 * @param services the services among which the route's requests are split, none if the route could
 *     not be read
 */
public record Route(
        String name,
        String host,
        String pathPrefix,
        CallKind kind,
        boolean resumable,
        boolean isPublic,
        int priority,
        int maxAttempts,
        Duration timeout,
        Duration latencyTarget,
        Duration eventGapTarget,
        List<WeightedService> services) {
    /** Callers wait at least this long for the next event of a stream. */
    private static final Duration MIN_STREAM_PATIENCE = Duration.ofSeconds(2);

    /** Stands for the timeout of a route that refuses all requests at once. */
    private static final Duration UNUSABLE_TIMEOUT = Duration.ofSeconds(1);

    private static final int PATIENCE_LATENCY_TARGETS = 4;
    private static final int PATIENCE_EVENT_GAP_TARGETS = 8;

    /** Validates the components. */
    public Route {
        checkNotNull(name, "name");
        checkNotNull(host, "host");
        checkNotNull(kind, "kind");
        checkArgument(
                pathPrefix.startsWith("/") && pathPrefix.endsWith("/"),
                "prefix does not begin and end with a slash: %s",
                pathPrefix);
        checkArgument(maxAttempts >= 1, "attempts is below 1: %s", maxAttempts);
        checkArgument(
                !timeout.isNegative() && !timeout.isZero(), "timeout is not positive: %s", timeout);
        services = List.copyOf(services);
    }

    /** Returns a route that could not be read but for its place, and refuses its requests. */
    public static Route unusable(String name, String host, String pathPrefix) {
        return new Route(
                name,
                host,
                pathPrefix,
                CallKind.AT_MOST_ONCE,
                false,
                false,
                0,
                1,
                UNUSABLE_TIMEOUT,
                UNUSABLE_TIMEOUT,
                Duration.ZERO,
                List.of());
    }

    /** Returns whether requests may be sent on the route. */
    public boolean isUsable() {
        return !services.isEmpty();
    }

    /**
     * Returns how long callers wait for a response to begin before they give up, which for a stream
     * may be much shorter than its timeout.
     */
    public Duration callerPatience() {
        if (kind != CallKind.STREAM) {
            return timeout;
        }
        Duration byTarget = latencyTarget.multipliedBy(PATIENCE_LATENCY_TARGETS);
        Duration byGap = eventGapTarget.multipliedBy(PATIENCE_EVENT_GAP_TARGETS);
        return Collections.max(List.of(MIN_STREAM_PATIENCE, byTarget, byGap));
    }

    /** Returns whether a request may be sent again after an upstream may have executed it. */
    public boolean isSafeToRetry() {
        return kind.isSafeToRetry(resumable);
    }

    /**
     * Returns the service for a request, chosen in proportion to the weights.
     *
     * @param hash a uniformly distributed number, for example a hash of the request id; equal
     *     numbers select the same service
     */
    public ServiceId selectService(int hash) {
        int total = services.stream().mapToInt(WeightedService::weight).sum();
        if (total == 0) {
            return services.get(0).service();
        }
        int remaining = Math.floorMod(hash, total);
        for (WeightedService candidate : services) {
            remaining -= candidate.weight();
            if (remaining < 0) {
                return candidate.service();
            }
        }
        throw new AssertionError("weights of route " + name + " do not add up to their total");
    }
}
