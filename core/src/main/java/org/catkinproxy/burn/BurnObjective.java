package org.catkinproxy.burn;

import org.catkinproxy.config.ServiceLevelObjectives;

import java.util.Locale;

/** A service-level objective that the burn report covers, with its definition of bad events. */
public enum BurnObjective {
    /** First tokens are sent within the target time. */
    FIRST_TOKEN {
        @Override
        public double target(ServiceLevelObjectives objectives) {
            return objectives.firstTokenShare();
        }

        @Override
        long totalCount(RequestStats stats) {
            return stats.firstTokenCount();
        }

        @Override
        long badCount(RequestStats stats, ServiceLevelObjectives objectives) {
            return stats.firstTokensSlowerThan(objectives.firstTokenMillis());
        }
    },
    /** Requests are answered completely. */
    AVAILABILITY {
        @Override
        public double target(ServiceLevelObjectives objectives) {
            return objectives.availability();
        }

        @Override
        long totalCount(RequestStats stats) {
            return stats.answered() + stats.failed();
        }

        @Override
        long badCount(RequestStats stats, ServiceLevelObjectives objectives) {
            return stats.failed();
        }
    },
    /** Prompt tokens are served from a cache. */
    HIT_RATE {
        @Override
        public double target(ServiceLevelObjectives objectives) {
            return objectives.hitRate();
        }

        @Override
        long totalCount(RequestStats stats) {
            return stats.promptTokens();
        }

        @Override
        long badCount(RequestStats stats, ServiceLevelObjectives objectives) {
            return stats.promptTokens() - stats.cachedTokens();
        }
    };

    /** The smallest error budget, so that the burn rate is finite for a target of 1. */
    private static final double MIN_ERROR_BUDGET = 1e-6;

    /** Returns the target share of good events, between 0 and 1. */
    public abstract double target(ServiceLevelObjectives objectives);

    /** Returns the number of events: first tokens, requests or prompt tokens. */
    abstract long totalCount(RequestStats stats);

    /** Returns the number of events that missed the objective. */
    abstract long badCount(RequestStats stats, ServiceLevelObjectives objectives);

    /**
     * Returns the burn rate: the share of bad events divided by the error budget, or 0 if there
     * were no events.
     */
    double burnRate(RequestStats stats, ServiceLevelObjectives objectives) {
        long total = totalCount(stats);
        if (total == 0) {
            return 0;
        }
        double errorBudget = Math.max(1 - target(objectives), MIN_ERROR_BUDGET);
        return (double) badCount(stats, objectives) / total / errorBudget;
    }

    /** Returns the name used in reports. */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
