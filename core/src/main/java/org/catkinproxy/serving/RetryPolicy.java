package org.catkinproxy.serving;

/**
 * Decides whether a request is sent to another upstream after a failure.
 *
 * <p>A request that an upstream may have executed is retried only if it is safe to retry, and at no
 * more upstreams than its route allows. A request that was certainly not executed may be retried
 * regardless of its kind. In both cases enough time must be left for a response. Only requests that
 * reached an upstream consume the retry budget, which the caller of this class checks. Stateless
 * and thread-safe.
 */
public final class RetryPolicy {
    /** The maximum number of rejections after which a request is still retried. */
    static final int MAX_REJECTIONS = 3;

    private RetryPolicy() {}

    /**
     * Returns whether a broken stream may continue at another engine that has a backup of its KV
     * cache. The stream continues the same execution, so it uses no further attempt. An engine
     * without the backup rejects the request.
     *
     * @param hasBegun whether an event of the stream was delivered; before that nothing shows how
     *     far the execution has come, and another engine might begin a second one
     * @param leftNanos the time until the caller's deadline, in ns
     */
    public static boolean mayResumeFromBackup(
            Route route, SendFailure failure, boolean hasBegun, long leftNanos) {
        boolean isBroken = failure == SendFailure.BROKEN || failure == SendFailure.SILENT;
        return hasBegun
                && isBroken
                && route.kind() == CallKind.STREAM
                && hasTimeLeft(route, leftNanos);
    }

    /**
     * Returns whether another attempt is allowed, apart from the retry budget.
     *
     * @param executions how many upstreams may have executed the request
     * @param rejections how many upstreams reported that they did not execute the request
     * @param leftNanos the time until the caller's deadline, in ns
     */
    public static boolean mayRetry(
            Route route, SendFailure failure, int executions, int rejections, long leftNanos) {
        if (!hasTimeLeft(route, leftNanos)) {
            return false;
        }
        if (rejections > MAX_REJECTIONS) {
            return false;
        }
        if (failure.isNotRun()) {
            return executions < route.maxAttempts() && (executions == 0 || route.isSafeToRetry());
        }
        return route.isSafeToRetry() && executions < route.maxAttempts();
    }

    /**
     * Returns whether a response may still arrive in time: it takes at least a tenth of the latency
     * target.
     *
     * @param leftNanos the time until the caller's deadline, in ns
     */
    public static boolean hasTimeLeft(Route route, long leftNanos) {
        return leftNanos >= route.latencyTarget().toNanos() / 10;
    }
}
