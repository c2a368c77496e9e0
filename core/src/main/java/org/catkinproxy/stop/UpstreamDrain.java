package org.catkinproxy.stop;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Decides when a leaving upstream is drained, so that orders to unload may be sent to it.
 *
 * <p>Invariant: an upstream is drained only after every entry instance has had time to learn that
 * the upstream is leaving, and then only while neither the entry instances nor the upstream itself
 * report running requests. Immutable and thread-safe.
 *
 * @param startMillis when this instance learnt that the upstream is leaving
 * @param maxPropagationMillis the maximum time until all entry instances know it
 */
public record UpstreamDrain(long startMillis, long maxPropagationMillis) {
    /** Checks that the propagation time is not negative. */
    public UpstreamDrain {
        checkArgument(
                maxPropagationMillis >= 0,
                "maxPropagationMillis is negative: %s",
                maxPropagationMillis);
    }

    /**
     * Returns whether the upstream is drained. All times are milliseconds of the same clock.
     *
     * @param ownInFlight the number of requests that this instance has in flight at the upstream
     * @param peersInFlight the number of requests that peers reported in flight there
     * @param running the number of running and queued requests that the upstream itself reported
     * @param reportMillis when the upstream made that report; reports from before the end of the
     *     propagation time are ignored
     */
    public boolean isDrained(
            long now, int ownInFlight, int peersInFlight, int running, long reportMillis) {
        long propagationEnd = startMillis + maxPropagationMillis;
        boolean reportCounts = reportMillis >= propagationEnd;
        return now >= propagationEnd
                && reportCounts
                && ownInFlight == 0
                && peersInFlight == 0
                && running == 0;
    }
}
