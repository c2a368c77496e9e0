package org.catkinproxy.route;

import java.util.Locale;

/** How an engine is chosen among those that are fit. Immutable. */
public enum RoutingPolicy {
    /** Weighs cached prefixes first, as long as the wait stays bearable. */
    HIT_FIRST(3, 2, 0.3),
    /** Weighs the expected time to the first token first. */
    TAIL_FIRST(2, 2, 0.5);

    /** From this mean backlog on, recomputing costs most. */
    private static final double BUSY_BACKLOG_NANOS = 5e8;

    private final double mRecomputeWeight;
    private final double mBusyWeight;
    private final double mUnknownDiscount;

    RoutingPolicy(double recomputeWeight, double busyWeight, double unknownDiscount) {
        mRecomputeWeight = recomputeWeight;
        mBusyWeight = busyWeight;
        mUnknownDiscount = unknownDiscount;
    }

    /**
     * Returns what a nanosecond of computing the prompt costs, in nanoseconds of waiting.
     *
     * <p>More than one, since others wait behind it, and the more the busier the engines are:
     * otherwise a backlog spreads prompts to engines that have to compute them anew, which makes
     * the backlog larger.
     *
     * @param backlogNanos the mean time to compute all prompts that an engine has
     */
    double recomputeWeight(double backlogNanos) {
        return mRecomputeWeight + mBusyWeight * Math.min(1, backlogNanos / BUSY_BACKLOG_NANOS);
    }

    /** Returns the share of the computing that counts where an unknown prefix is sent by hash. */
    double unknownDiscount() {
        return mUnknownDiscount;
    }

    /** Returns the spelling used in settings. */
    public String wire() {
        return name().toLowerCase(Locale.ROOT);
    }
}
