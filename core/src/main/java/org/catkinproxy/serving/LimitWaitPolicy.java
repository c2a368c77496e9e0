package org.catkinproxy.serving;

/**
 * Decides whether a request waits until the limit of an upstream allows it.
 *
 * <p>The load pattern: all upstreams of a service accept only a limited number of requests, and
 * more arrive. A request may wait for a part of its latency target, so that requests that arrive
 * unevenly are served; the others are refused at once, while their callers can still retry.
 * Stateless and thread-safe.
 */
public final class LimitWaitPolicy {
    /** Share of the latency target that a request may wait. */
    private static final double MAX_WAIT_LATENCY_TARGETS = 0.3;

    private LimitWaitPolicy() {}

    /**
     * Returns whether a request may wait.
     *
     * @param waitNanos the whole wait since the request's arrival, in ns
     * @param leftNanos the time until the caller's deadline, in ns
     */
    public static boolean mayWait(Route route, long waitNanos, long leftNanos) {
        return waitNanos <= MAX_WAIT_LATENCY_TARGETS * route.latencyTarget().toNanos()
                && RetryPolicy.hasTimeLeft(route, leftNanos - waitNanos);
    }
}
