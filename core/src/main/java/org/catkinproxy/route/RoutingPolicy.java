package org.catkinproxy.route;

import java.util.Locale;

/** A policy that ranks the eligible engines of a request. Immutable and thread-safe. */
public enum RoutingPolicy {
    /** Prefers engines that have a prefix of the prompt cached, unless the wait is long. */
    HIT_FIRST(3, 2, 3, 0.3),
    /** Prefers engines with a short expected time to the first token. */
    TAIL_FIRST(2, 2, 1, 0.5);

    /** The mean backlog for which the backlog factor is added once to the base factor. */
    private static final double BACKLOG_UNIT_NANOS = 5e8;

    private final double mBasePrefillFactor;
    private final double mBacklogPrefillFactor;
    private final double mMaxBacklogUnits;
    private final double mRendezvousCostFactor;

    RoutingPolicy(
            double basePrefillFactor,
            double backlogPrefillFactor,
            double maxBacklogUnits,
            double rendezvousCostFactor) {
        mBasePrefillFactor = basePrefillFactor;
        mBacklogPrefillFactor = backlogPrefillFactor;
        mMaxBacklogUnits = maxBacklogUnits;
        mRendezvousCostFactor = rendezvousCostFactor;
    }

    /**
     * Returns the cost of a nanosecond of prefill, in nanoseconds of waiting.
     *
     * <p>The factor is above 1 because other requests wait for the prefill, and it increases with
     * the backlog: otherwise a backlog would spread prompts to engines that have to compute them
     * again, which would increase the backlog further.
     *
     * @param backlogNanos the mean time that an engine needs to compute all its prompts, in
     *     nanoseconds
     */
    double prefillCostFactor(double backlogNanos) {
        return mBasePrefillFactor
                + mBacklogPrefillFactor
                        * Math.min(mMaxBacklogUnits, backlogNanos / BACKLOG_UNIT_NANOS);
    }

    /**
     * Returns the factor, below 1, on the prefill cost of the engine that rendezvous hashing
     * selects for a prompt that no engine is known to have cached.
     */
    double rendezvousCostFactor() {
        return mRendezvousCostFactor;
    }

    /** Returns the name used in settings. */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
