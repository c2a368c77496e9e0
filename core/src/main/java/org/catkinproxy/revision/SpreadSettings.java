package org.catkinproxy.revision;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The times and sizes of the spread of revisions.
 *
 * <p>Immutable, and so safe for use by any thread.
 *
 * @param roundMillis the time between two rounds of gossip
 * @param roundPeers how many peers are asked in a round
 * @param pushPeers how many peers are told at once of a new revision
 * @param pollMillis the shortest time between two reads of the head row
 * @param pollsPerSecond how many reads of the head row all instances together may make a second
 * @param pauseMillis a tick later than this shows that the process was paused
 * @param syncMillis how long a process that starts or was paused waits for answers
 * @param syncPeers how many peers' answers stand in for one of the store
 * @param isolationMillis how long a process serves without hearing from store or peers
 * @param loadMillis how long the content of a revision may take to come from one source
 */
public record SpreadSettings(
        long roundMillis,
        int roundPeers,
        int pushPeers,
        long pollMillis,
        int pollsPerSecond,
        long pauseMillis,
        long syncMillis,
        int syncPeers,
        long isolationMillis,
        long loadMillis) {
    /** What an instance uses unless its settings say otherwise. */
    public static final SpreadSettings DEFAULT =
            new SpreadSettings(1_000, 2, 8, 5_000, 20, 1_000, 2_000, 3, 10_000, 2_000);

    private static final long MILLIS_PER_SECOND = 1_000;

    /** Checks the ranges. */
    public SpreadSettings {
        checkArgument(roundMillis > 0, "roundMillis: %s", roundMillis);
        checkArgument(roundPeers > 0, "roundPeers: %s", roundPeers);
        checkArgument(pushPeers > 0, "pushPeers: %s", pushPeers);
        checkArgument(pollMillis > 0, "pollMillis: %s", pollMillis);
        checkArgument(pollsPerSecond > 0, "pollsPerSecond: %s", pollsPerSecond);
        checkArgument(pauseMillis > 0, "pauseMillis: %s", pauseMillis);
        checkArgument(syncMillis > 0, "syncMillis: %s", syncMillis);
        checkArgument(syncPeers > 0, "syncPeers: %s", syncPeers);
        checkArgument(isolationMillis > 0, "isolationMillis: %s", isolationMillis);
        checkArgument(loadMillis > 0, "loadMillis: %s", loadMillis);
    }

    /** Returns the time between two reads of the head row by one of {@code instances}. */
    long pollMillis(int instances) {
        return Math.max(pollMillis, instances * MILLIS_PER_SECOND / pollsPerSecond);
    }
}
