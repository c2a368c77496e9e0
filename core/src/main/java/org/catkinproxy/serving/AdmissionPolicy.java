package org.catkinproxy.serving;

import java.time.Duration;

/**
 * Decides whether a prompt is sent to an engine now or its caller has to retry later.
 *
 * <p>The policy sheds load when engines are lost, or lose their caches, under load. Without it,
 * prompts would wait at the remaining engines until their callers give up, the work done for them
 * would be wasted, and the queues would never drain. A prompt is admitted if its wait is within a
 * limit that depends on the route's latency target. Other callers are told to retry; a retried
 * prompt may wait longer.
 *
 * <p>Prompts of urgent routes may wait longer than others, which reserves capacity for them when
 * little is left. The priority of a workspace does not count here, only in the engines' queues:
 * otherwise prompts of one route could be rejected before those of a less urgent route. Only the
 * wait in the queue counts, not the length of the prompt, so that long prompts are not rejected
 * more often than short ones. Stateless and thread-safe.
 */
public final class AdmissionPolicy {
    /** Callers wait at least this long for an event of a stream before they give up. */
    private static final Duration MIN_CALLER_TIMEOUT = Duration.ofSeconds(2);

    /** Callers wait at least this many latency targets for an event before they give up. */
    private static final int CALLER_TIMEOUT_LATENCY_TARGETS = 4;

    /** Callers wait at least this many event gap targets for an event before they give up. */
    private static final int CALLER_TIMEOUT_EVENT_GAPS = 8;

    /** Latency targets that a prompt of priority 0, the most urgent, may wait. */
    private static final double URGENT_WAIT_LATENCY_TARGETS = 2;

    /** Latency targets that a prompt of any other priority may wait. */
    private static final double OTHER_WAIT_LATENCY_TARGETS = 0.5;

    /** Factor by which a retried prompt may wait longer. */
    private static final double RETRY_WAIT_FACTOR = 2;

    /** A prompt with less than this share of the route's timeout left counts as retried. */
    private static final double RETRY_TIME_LEFT_SHARE = 0.9;

    /** The outcome of an admission decision. */
    public enum Verdict {
        /** The prompt is sent. */
        ADMIT,
        /** The caller is told to retry, because there may be capacity soon. */
        COME_BACK,
        /** The first token would arrive after the caller has given up. */
        HOPELESS;

        /** Returns whether the prompt is sent. */
        public boolean admits() {
            return this == ADMIT;
        }
    }

    private AdmissionPolicy() {}

    /**
     * Decides whether a prompt is admitted.
     *
     * @param route the route of the prompt
     * @param waitNanos how long the prompt would wait behind others at the best engine, in ns
     * @param firstTokenNanos the time to the first token there, including the wait, in ns
     * @param leftNanos the time until the caller's deadline for the whole response, in ns
     */
    public static Verdict decide(
            Route route, double waitNanos, double firstTokenNanos, long leftNanos) {
        if (waitNanos <= 0) {
            return Verdict.ADMIT;
        }
        if (firstTokenNanos > Math.min(leftNanos, callerTimeoutNanos(route))) {
            return Verdict.HOPELESS;
        }
        boolean isRetry = leftNanos < RETRY_TIME_LEFT_SHARE * route.timeout().toNanos();
        double latencyTargets =
                route.priority() == 0 ? URGENT_WAIT_LATENCY_TARGETS : OTHER_WAIT_LATENCY_TARGETS;
        double limit =
                latencyTargets
                        * route.latencyTarget().toNanos()
                        * (isRetry ? RETRY_WAIT_FACTOR : 1);
        return waitNanos <= limit ? Verdict.ADMIT : Verdict.COME_BACK;
    }

    private static long callerTimeoutNanos(Route route) {
        long targets = CALLER_TIMEOUT_LATENCY_TARGETS * route.latencyTarget().toNanos();
        long gaps = CALLER_TIMEOUT_EVENT_GAPS * route.eventGapTarget().toNanos();
        return Math.max(MIN_CALLER_TIMEOUT.toNanos(), Math.max(targets, gaps));
    }
}
