package org.catkinproxy.route;

import java.util.Locale;

/** How an engine is chosen among those that are fit. Immutable. */
public enum RoutingPolicy {
    /** Weighs cached prefixes first, as long as the wait stays bearable. */
    HIT_FIRST(3, 0.3),
    /** Weighs the expected time to the first token first. */
    TAIL_FIRST(1.5, 0.5);

    private final double mRecomputeWeight;
    private final double mUnknownDiscount;

    RoutingPolicy(double recomputeWeight, double unknownDiscount) {
        mRecomputeWeight = recomputeWeight;
        mUnknownDiscount = unknownDiscount;
    }

    /** Returns what a nanosecond of computing the prompt costs, in nanoseconds of waiting. */
    double recomputeWeight() {
        return mRecomputeWeight;
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
