package org.catkinproxy.serving;

import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * How often one of several instances asks the store for changes.
 *
 * <p>Each call counts against limits that all instances share. Answers the load pattern in which
 * each change wakes every instance: changes that follow each other are put together, for longer the
 * more instances there are, and calls that bring nothing are rarer, since instances ask by turns
 * and tell each other of what they saw. Stateless, and so safe for use by any thread.
 */
public final class FleetPace {
    private static final Duration LEAST_WAIT = Duration.ofMillis(2_000);
    private static final Duration WAIT_PER_INSTANCE = Duration.ofMillis(300);
    private static final Duration LONGEST_WAIT = Duration.ofSeconds(16);
    private static final Duration LONGEST_PAUSE = Duration.ofSeconds(1);

    private FleetPace() {}

    /**
     * Returns how long a call waits for changes, between 0.75 and 1.25 times the fleet's usual
     * wait, so that the calls of several instances do not fall together.
     */
    public static Duration wait(int instances, RandomGenerator random) {
        long usual = Math.max(LEAST_WAIT.toMillis(), WAIT_PER_INSTANCE.toMillis() * instances);
        long bounded = Math.min(LONGEST_WAIT.toMillis(), usual);
        return Duration.ofMillis((long) (bounded * (0.75 + 0.5 * random.nextDouble())));
    }

    /** Returns how long the next call is put off after changes. */
    public static Duration pause(Duration perInstance, int instances) {
        Duration pause = perInstance.multipliedBy(instances);
        return pause.compareTo(LONGEST_PAUSE) < 0 ? pause : LONGEST_PAUSE;
    }
}
