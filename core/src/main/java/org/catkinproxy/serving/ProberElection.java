package org.catkinproxy.serving;

import static com.google.common.base.Preconditions.checkNotNull;

import org.catkinproxy.id.InstanceId;

import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.OptionalLong;

/**
 * Decides which instance is the prober: the one that polls the store with short waits.
 *
 * <p>A connection to the store can fall silent without an error, and one that waits for changes
 * does not show it. The prober finds it out soon and reports to its peers the changes that they
 * miss, so that the cost does not depend on the size of the fleet. The prober is the instance with
 * the lowest id that is eligible: that accepts callers and reaches the store. The instances that
 * follow it are candidates: each takes over once it has not heard for a while from any eligible
 * instance before it. That time counts from when it became eligible itself at the earliest, as an
 * instance that has just started knows no other. Two probers at a time do no harm. Times are in
 * nanoseconds of the owner's monotonic clock. Stateless and thread-safe.
 */
public final class ProberElection {
    /** The number of instances that the prober keeps informed that it runs. */
    private static final int CANDIDATES = 7;

    private static final Duration TAKEOVER_DELAY = Duration.ofMillis(800);

    /** Additional delay for each candidate before this one, so that one of them takes over. */
    private static final Duration TAKEOVER_DELAY_PER_CANDIDATE = Duration.ofMillis(100);

    /**
     * Another instance, as its last heartbeat showed it.
     *
     * @param eligible whether it accepts callers and reaches the store
     * @param lastSeenAt when the heartbeat arrived
     */
    public record Peer(InstanceId id, boolean eligible, long lastSeenAt) {
        /** Checks that the id is not null. */
        public Peer {
            checkNotNull(id, "id");
        }
    }

    private ProberElection() {}

    /**
     * Returns whether this instance is the prober.
     *
     * @param eligibleSince since when this instance is eligible, empty if it is not
     * @param peers the other instances that are alive
     */
    public static boolean isProber(
            InstanceId self, OptionalLong eligibleSince, Collection<Peer> peers, long now) {
        if (eligibleSince.isEmpty()) {
            return false;
        }
        List<Peer> before = peers.stream().filter(p -> p.id().compareTo(self) < 0).toList();
        List<Peer> eligibleBefore = before.stream().filter(Peer::eligible).toList();
        if (before.size() > CANDIDATES && !eligibleBefore.isEmpty()) {
            return false;
        }
        long silentSince = now - takeoverDelay(before.size()).toNanos();
        return eligibleSince.getAsLong() - silentSince <= 0
                && eligibleBefore.stream().allMatch(p -> p.lastSeenAt() - silentSince <= 0);
    }

    private static Duration takeoverDelay(int candidatesBefore) {
        return TAKEOVER_DELAY.plus(TAKEOVER_DELAY_PER_CANDIDATE.multipliedBy(candidatesBefore));
    }

    /** Returns the time after which the second candidate takes over if the first fails as well. */
    static Duration secondTakeoverDelay() {
        return takeoverDelay(2);
    }

    /** Returns the instances that the prober has to inform often that it runs. */
    public static List<InstanceId> candidates(Collection<InstanceId> peers) {
        return peers.stream().sorted().limit(CANDIDATES).toList();
    }
}
