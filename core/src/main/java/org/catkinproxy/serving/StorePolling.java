package org.catkinproxy.serving;

import java.time.Duration;

/**
 * The waits between a change in the store, or its return, and the moment at which an instance acts
 * on it.
 *
 * <p>What the store confirms has to be in force at each instance within {@link #MAX_SYNC_TIME}
 * after the last disturbance of the store, of the links to it and of open connections. Several
 * waits follow each other on the way, so each of them is part of a sum that this class states.
 * Stateless and thread-safe.
 */
public final class StorePolling {
    /** Time after a disturbance in which all instances know what the store holds. */
    public static final Duration MAX_SYNC_TIME = Duration.ofSeconds(3);

    /** How long the polls of the prober wait for changes. */
    public static final Duration PROBE_WAIT = Duration.ofMillis(1_300);

    /**
     * Time after the end of a poll's wait in which its response arrives on a sound connection. A
     * poll without one is replaced by a poll on a new connection.
     */
    public static final Duration MIN_RESPONSE_GRACE = Duration.ofMillis(500);

    /** How long a call may take, beside the wait of a poll, before it counts as failed. */
    public static final Duration REQUEST_TIMEOUT = Duration.ofMillis(1_500);

    /** Time within which the open poll should return a change that a peer has reported. */
    public static final Duration HINT_GRACE = Duration.ofMillis(300);

    /** Interval between the starts of attempts to reach a store that does not answer. */
    public static final Duration MAX_RETRY_INTERVAL = Duration.ofMillis(600);

    /** How long a connection attempt may take; another one follows within the retry interval. */
    public static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);

    /** Time after the store's return in which live upstreams are listed again. */
    static final Duration RELISTING_TIME = Duration.ofMillis(2_000);

    /**
     * Limit for the time for which missing entries are retained, from the start of the last attempt
     * that failed: the store may have returned right after it.
     */
    static final Duration MAX_RETENTION_AFTER_ATTEMPT = Duration.ofMillis(2_700);

    /** How long an attempt without an answer takes at most, unless this process is held up. */
    static final Duration MAX_ATTEMPT_TIME = REQUEST_TIMEOUT.plus(MAX_RETRY_INTERVAL);

    /**
     * Interval at which an instance checks which entries it still retains and whether it is the
     * prober, and at which the prober reports the changes it saw.
     */
    public static final Duration SWEEP_INTERVAL = Duration.ofMillis(250);

    /** Time for a call on a new connection to a sound store, and for a message to a peer. */
    private static final Duration CALL_TIME = Duration.ofMillis(100);

    private StorePolling() {}

    /**
     * Returns the time in which all instances have a change if all open connections to the store
     * are silent: the prober's poll is found to be overdue and replaced, the prober reports the
     * change, and the polls of the others are replaced.
     *
     * @param instances the number of instances
     */
    public static Duration silentConnectionsDelay(int instances) {
        return PROBE_WAIT
                .plus(MIN_RESPONSE_GRACE)
                .plus(CALL_TIME)
                .plus(reportDelay(instances))
                .plus(CALL_TIME)
                .plus(HINT_GRACE)
                .plus(CALL_TIME);
    }

    /** Returns the time after the store's return in which an instance has its first answer. */
    public static Duration storeReturnDelay() {
        return MAX_RETRY_INTERVAL.plus(CALL_TIME);
    }

    /**
     * Returns the time after the store's return in which an entry is dropped that is still missing.
     */
    public static Duration missingEntryDelay() {
        return MAX_RETENTION_AFTER_ATTEMPT.plus(SWEEP_INTERVAL);
    }

    /**
     * Returns the time in which all instances have a change if the prober and the candidate after
     * it fail and all open connections to the store are silent: the next one takes over with new
     * polls.
     *
     * @param instances the number of instances
     */
    public static Duration failedProberDelay(int instances) {
        return ProberElection.secondTakeoverDelay()
                .plus(SWEEP_INTERVAL)
                .plus(CALL_TIME)
                .plus(reportDelay(instances))
                .plus(CALL_TIME)
                .plus(HINT_GRACE)
                .plus(CALL_TIME);
    }

    private static Duration reportDelay(int instances) {
        Duration heartbeat = FleetIntervals.heartbeatInterval(instances);
        return heartbeat.compareTo(SWEEP_INTERVAL) < 0 ? heartbeat : SWEEP_INTERVAL;
    }

    /**
     * Returns how long the response of the next poll is awaited after the end of its wait: longer
     * than usual if the store is slow, and at most for the time that a call may take.
     *
     * @param lateness how long the last response came after the end of its poll's wait
     */
    public static Duration responseGrace(Duration lateness) {
        Duration grace = lateness.multipliedBy(2);
        if (grace.compareTo(MIN_RESPONSE_GRACE) < 0) {
            return MIN_RESPONSE_GRACE;
        }
        return grace.compareTo(REQUEST_TIMEOUT) > 0 ? REQUEST_TIMEOUT : grace;
    }
}
