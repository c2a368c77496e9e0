package org.catkinproxy.burn;

import org.catkinproxy.config.Objectives;

import java.util.Locale;

/** One of the objectives of a workspace: what counts as bad, and how much of it is allowed. */
public enum BurnObjective {
    /** First tokens come in time. */
    FIRST_TOKEN {
        @Override
        public double target(Objectives objectives) {
            return objectives.firstTokenShare();
        }

        @Override
        long total(BurnFigures figures) {
            return figures.firstTokens();
        }

        @Override
        long bad(BurnFigures figures, Objectives objectives) {
            return figures.firstTokensAfter(objectives.firstTokenMillis());
        }
    },
    /** Requests are answered whole. */
    AVAILABILITY {
        @Override
        public double target(Objectives objectives) {
            return objectives.availability();
        }

        @Override
        long total(BurnFigures figures) {
            return figures.answered() + figures.failed();
        }

        @Override
        long bad(BurnFigures figures, Objectives objectives) {
            return figures.failed();
        }
    },
    /** Prompt tokens come from a cache. */
    HIT_RATE {
        @Override
        public double target(Objectives objectives) {
            return objectives.hitRate();
        }

        @Override
        long total(BurnFigures figures) {
            return figures.promptTokens();
        }

        @Override
        long bad(BurnFigures figures, Objectives objectives) {
            return figures.promptTokens() - figures.cachedTokens();
        }
    };

    /** The smallest share that may go bad, so that an objective of 1 has a finite burn rate. */
    private static final double MIN_BUDGET = 1e-6;

    /** Returns the share that should be good. */
    public abstract double target(Objectives objectives);

    /** Returns how many things were counted. */
    abstract long total(BurnFigures figures);

    /** Returns how many of them were bad. */
    abstract long bad(BurnFigures figures, Objectives objectives);

    /** Returns the burn rate: 1 uses up exactly what is allowed, 0 if nothing was counted. */
    double burn(BurnFigures figures, Objectives objectives) {
        long total = total(figures);
        if (total == 0) {
            return 0;
        }
        double budget = Math.max(1 - target(objectives), MIN_BUDGET);
        return (double) bad(figures, objectives) / total / budget;
    }

    /** Returns the spelling used in reports. */
    public String wire() {
        return name().toLowerCase(Locale.ROOT);
    }
}
