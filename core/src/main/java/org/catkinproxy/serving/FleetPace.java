package org.catkinproxy.serving;

import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * How often one of several instances asks the store for changes, and tells the others news.
 *
 * <p>Each call to the store counts against limits that all instances share, and each news goes to
 * all. Answers the load pattern in which each change wakes every instance: what follows each other
 * is put together, for longer the more instances there are, and calls that bring nothing are rarer,
 * since instances ask by turns and tell each other of what they saw. Stateless, and so safe for use
 * by any thread.
 */
public final class FleetPace {
    private static final Duration LEAST_WAIT = Duration.ofMillis(2_000);
    private static final Duration WAIT_PER_INSTANCE = Duration.ofMillis(300);
    private static final Duration LONGEST_WAIT = Duration.ofSeconds(16);
    private static final Duration LONGEST_PAUSE = Duration.ofMillis(1_600);

    private static final Duration LEAST_HEARTBEAT = Duration.ofMillis(150);
    private static final Duration HEARTBEAT_PER_INSTANCE = Duration.ofMillis(15);
    private static final Duration LEAST_CACHE_NEWS = Duration.ofMillis(200);
    private static final Duration CACHE_NEWS_PER_INSTANCE = Duration.ofMillis(8);

    /** An instance that misses some heartbeats is taken as gone, but not before this time. */
    private static final Duration LEAST_SILENCE = Duration.ofMillis(3_500);

    private static final int HEARTBEATS_OF_SILENCE = 4;

    private FleetPace() {}

    /**
     * Returns how long a call waits for changes, between 0.75 and 1.25 times the fleet's usual
     * wait, so that the calls of several instances do not fall together.
     */
    public static Duration wait(int instances, RandomGenerator random) {
        Duration usual = atLeast(LEAST_WAIT, WAIT_PER_INSTANCE.multipliedBy(instances));
        long millis = Math.min(LONGEST_WAIT.toMillis(), usual.toMillis());
        return Duration.ofMillis((long) (millis * (0.75 + 0.5 * random.nextDouble())));
    }

    /** Returns how long the next call is put off after changes. */
    public static Duration pause(Duration perInstance, int instances) {
        Duration pause = perInstance.multipliedBy(instances);
        return pause.compareTo(LONGEST_PAUSE) < 0 ? pause : LONGEST_PAUSE;
    }

    /** Returns the time between two heartbeats of an instance. */
    public static Duration heartbeat(int instances) {
        return atLeast(LEAST_HEARTBEAT, HEARTBEAT_PER_INSTANCE.multipliedBy(instances));
    }

    /** Returns after which silence an instance is taken as gone. */
    public static Duration silence(int instances) {
        return atLeast(LEAST_SILENCE, heartbeat(instances).multipliedBy(HEARTBEATS_OF_SILENCE));
    }

    /** Returns for how long changes of a cache are put together before they are told. */
    public static Duration cacheNews(int instances) {
        return atLeast(LEAST_CACHE_NEWS, CACHE_NEWS_PER_INSTANCE.multipliedBy(instances));
    }

    private static Duration atLeast(Duration least, Duration other) {
        return other.compareTo(least) > 0 ? other : least;
    }
}
