package org.catkinproxy.serving;

import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * The intervals at which an instance polls the store and sends messages to its peers.
 *
 * <p>The intervals grow with the number of instances, because each call to the store counts against
 * limits that all instances share, and each message goes to all peers. Each change of a table wakes
 * every instance, so changes that follow each other are batched. Polls without a result are rarer
 * in large fleets, because the polls of the instances are staggered and instances tell each other
 * about the changes they saw. Stateless and thread-safe.
 */
public final class FleetIntervals {
    private static final Duration MIN_POLL_TIMEOUT = Duration.ofMillis(2_000);
    private static final Duration POLL_TIMEOUT_PER_INSTANCE = Duration.ofMillis(800);
    private static final Duration MAX_POLL_TIMEOUT = Duration.ofSeconds(20);
    private static final Duration NEW_ERA_DELAY_PER_INSTANCE = Duration.ofMillis(2);
    private static final Duration REWRITE_DELAY_PER_INSTANCE = Duration.ofMillis(4);
    private static final Duration UPSTREAM_POLL_DELAY_PER_INSTANCE = Duration.ofMillis(100);

    /**
     * Share of the time in which a draining upstream accepts requests that a poll may be delayed.
     */
    private static final double MAX_UPSTREAM_POLL_DELAY_SHARE = 0.4;

    private static final Duration MIN_HEARTBEAT_INTERVAL = Duration.ofMillis(150);
    private static final Duration HEARTBEAT_INTERVAL_PER_INSTANCE = Duration.ofMillis(15);
    private static final Duration MIN_CACHE_UPDATE_INTERVAL = Duration.ofMillis(200);
    private static final Duration CACHE_UPDATE_INTERVAL_PER_INSTANCE = Duration.ofMillis(8);

    /** Minimum time without heartbeats after which an instance counts as failed. */
    private static final Duration MIN_HEARTBEAT_TIMEOUT = Duration.ofMillis(3_500);

    /** Number of heartbeat intervals after which an instance counts as failed. */
    private static final int HEARTBEATS_PER_TIMEOUT = 4;

    private FleetIntervals() {}

    /**
     * Returns how long a poll of the store waits for changes at an instance that is not the prober
     * (see {@link ProberElection}): between 0.75 and 1.25 times the usual time for the size of the
     * fleet, so that the polls of the instances do not synchronize.
     */
    public static Duration pollTimeout(int instances, RandomGenerator random) {
        Duration usual =
                longer(MIN_POLL_TIMEOUT, POLL_TIMEOUT_PER_INSTANCE.multipliedBy(instances));
        long millis = Math.min(MAX_POLL_TIMEOUT.toMillis(), usual.toMillis());
        return Duration.ofMillis((long) (millis * (0.75 + 0.5 * random.nextDouble())));
    }

    /**
     * Returns the delay before a table is read again in a new era of the store, random so that the
     * reads of all instances do not exceed the limit for calls.
     */
    public static Duration newEraDelay(int instances, RandomGenerator random) {
        return spread(NEW_ERA_DELAY_PER_INSTANCE, instances, random);
    }

    /**
     * Returns the delay before an instance checks whether its own row has to be written again in a
     * new era of the store, random as writes are limited more than reads.
     */
    public static Duration rewriteDelay(int instances, RandomGenerator random) {
        return spread(REWRITE_DELAY_PER_INSTANCE, instances, random);
    }

    private static Duration spread(Duration perInstance, int instances, RandomGenerator random) {
        long maxMillis = perInstance.multipliedBy(instances).toMillis();
        return Duration.ofMillis((long) (maxMillis * random.nextDouble()));
    }

    /**
     * Returns the delay before the next poll of the upstreams after changes, in which further
     * changes accumulate: each change of weights changes all engines one after the other.
     *
     * @param drainTime how long a draining upstream accepts requests after its announcement
     */
    public static Duration upstreamPollDelay(int instances, Duration drainTime) {
        long delay = UPSTREAM_POLL_DELAY_PER_INSTANCE.multipliedBy(instances).toMillis();
        long maxDelay = (long) (MAX_UPSTREAM_POLL_DELAY_SHARE * drainTime.toMillis());
        return Duration.ofMillis(Math.min(delay, maxDelay));
    }

    /** Returns the interval between two heartbeats of an instance. */
    public static Duration heartbeatInterval(int instances) {
        return longer(
                MIN_HEARTBEAT_INTERVAL, HEARTBEAT_INTERVAL_PER_INSTANCE.multipliedBy(instances));
    }

    /** Returns the time without heartbeats after which an instance counts as failed. */
    public static Duration heartbeatTimeout(int instances) {
        return longer(
                MIN_HEARTBEAT_TIMEOUT,
                heartbeatInterval(instances).multipliedBy(HEARTBEATS_PER_TIMEOUT));
    }

    /** Returns the interval at which batched changes of a cache are sent to the peers. */
    public static Duration cacheUpdateInterval(int instances) {
        return longer(
                MIN_CACHE_UPDATE_INTERVAL,
                CACHE_UPDATE_INTERVAL_PER_INSTANCE.multipliedBy(instances));
    }

    private static Duration longer(Duration first, Duration second) {
        return second.compareTo(first) > 0 ? second : first;
    }
}
