package org.catkinproxy.bench;

import java.util.Locale;

/** A bound that one measure should keep, by its median over the seeds. Immutable. */
record Target(String name, Spread measured, Bound bound, double limit) {
    /** On which side of the limit a measure should be. */
    enum Bound {
        AT_LEAST(">="),
        AT_MOST("<=");

        private final String mSign;

        Bound(String sign) {
            mSign = sign;
        }
    }

    boolean isMet() {
        return switch (bound) {
            case AT_LEAST -> measured.median() >= limit;
            case AT_MOST -> measured.median() <= limit;
        };
    }

    @Override
    public String toString() {
        return String.format(
                Locale.ROOT,
                "target %s: %s %s %.3f %s",
                name,
                measured.format(3),
                bound.mSign,
                limit,
                isMet() ? "met" : "missed");
    }
}
