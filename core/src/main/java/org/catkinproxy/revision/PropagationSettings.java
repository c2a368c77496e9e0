package org.catkinproxy.revision;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The intervals, timeouts and fanouts of the propagation of revisions.
 *
 * <p>Immutable and thread-safe.
 *
 * @param gossipIntervalMillis the mean time between two gossip rounds
 * @param gossipFanout the number of peers contacted in a gossip round
 * @param pushFanout the number of peers that are informed of a new revision at once
 * @param minPollIntervalMillis the minimum mean time between two reads of the head row by one
 *     instance
 * @param maxTotalPollsPerSecond the maximum mean rate at which all instances together read the head
 *     row
 * @param pauseThresholdMillis the time since the last tick after which an event shows that the
 *     process was paused
 * @param syncTimeoutMillis how long an instance waits for responses after a start or a pause
 * @param syncQuorum the number of fresh peers whose responses replace that of the store
 * @param isolationTimeoutMillis how long an instance stays fresh without contact to the store or
 *     any peer
 * @param loadTimeoutMillis the timeout of loading a revision from one source
 */
public record PropagationSettings(
        long gossipIntervalMillis,
        int gossipFanout,
        int pushFanout,
        long minPollIntervalMillis,
        int maxTotalPollsPerSecond,
        long pauseThresholdMillis,
        long syncTimeoutMillis,
        int syncQuorum,
        long isolationTimeoutMillis,
        long loadTimeoutMillis) {
    /** The settings of an instance that does not configure its own. */
    public static final PropagationSettings DEFAULT =
            new PropagationSettings(1_000, 2, 8, 5_000, 20, 1_000, 2_000, 3, 10_000, 2_000);

    private static final long MILLIS_PER_SECOND = 1_000;

    /** Checks that all values are positive. */
    public PropagationSettings {
        checkArgument(
                gossipIntervalMillis > 0,
                "gossipIntervalMillis is not positive: %s",
                gossipIntervalMillis);
        checkArgument(gossipFanout > 0, "gossipFanout is not positive: %s", gossipFanout);
        checkArgument(pushFanout > 0, "pushFanout is not positive: %s", pushFanout);
        checkArgument(
                minPollIntervalMillis > 0,
                "minPollIntervalMillis is not positive: %s",
                minPollIntervalMillis);
        checkArgument(
                maxTotalPollsPerSecond > 0,
                "maxTotalPollsPerSecond is not positive: %s",
                maxTotalPollsPerSecond);
        checkArgument(
                pauseThresholdMillis > 0,
                "pauseThresholdMillis is not positive: %s",
                pauseThresholdMillis);
        checkArgument(
                syncTimeoutMillis > 0, "syncTimeoutMillis is not positive: %s", syncTimeoutMillis);
        checkArgument(syncQuorum > 0, "syncQuorum is not positive: %s", syncQuorum);
        checkArgument(
                isolationTimeoutMillis > 0,
                "isolationTimeoutMillis is not positive: %s",
                isolationTimeoutMillis);
        checkArgument(
                loadTimeoutMillis > 0, "loadTimeoutMillis is not positive: %s", loadTimeoutMillis);
    }

    /** Returns the mean time between two reads of the head row by one of {@code instances}. */
    long pollIntervalMillis(int instances) {
        return Math.max(
                minPollIntervalMillis, instances * MILLIS_PER_SECOND / maxTotalPollsPerSecond);
    }
}
