package org.catkinproxy.limit;

import org.catkinproxy.id.InstanceId;
import org.catkinproxy.serving.UpstreamStart;

import java.util.Collection;

/**
 * The part of an upstream's limit that one instance may use.
 *
 * <p>The load pattern: a limit of one request a second is shared by a hundred instances, which see
 * it at different times and do not ask each other before they send. If each had a hundredth, all of
 * them could use what they saved at the same moment. So only a few instances, chosen for each
 * upstream by rendezvous hashing, have a share: as many as may send a request at the same moment
 * without exceeding what an upstream tolerates within a few seconds.
 *
 * <p>Immutable and thread-safe.
 *
 * @param perSecond the requests per second, 0 if the instance has no share
 * @param burst the requests that may be saved, at least 1 if the instance has a share
 */
record LimitShare(double perSecond, double burst) {
    static final LimitShare NONE = new LimitShare(0, 0);

    /** Part of the limit that is used, since instances do not agree at once who has a share. */
    private static final double USED_PART = 0.95;

    /** Requests that all shares together may save, for each request per second of the limit. */
    private static final double BURST_SECONDS = 2;

    /** Requests that all shares together may save, whatever the limit. */
    private static final double MIN_BURST = 2;

    private static final double MAX_BURST_PER_INSTANCE = 4;

    /**
     * Returns the share of an instance.
     *
     * @param limit the requests per second that the upstream accepts from all instances
     * @param others the other instances that send requests
     */
    static LimitShare of(
            UpstreamStart upstream, double limit, InstanceId self, Collection<InstanceId> others) {
        double totalBurst = MIN_BURST + BURST_SECONDS * limit;
        int shares = (int) Math.min(1 + others.size(), Math.floor(totalBurst));
        long score = score(upstream, self);
        long before = others.stream().filter(i -> score(upstream, i) > score).count();
        if (before >= shares) {
            return NONE;
        }
        return new LimitShare(
                USED_PART * limit / shares, Math.min(MAX_BURST_PER_INSTANCE, totalBurst / shares));
    }

    private static long score(UpstreamStart upstream, InstanceId instance) {
        long z = upstream.hashCode() * 0x9e37_79b9_7f4a_7c15L ^ instance.hashCode();
        z = (z ^ (z >>> 30)) * 0xbf58_476d_1ce4_e5b9L;
        z = (z ^ (z >>> 27)) * 0x94d0_49bb_1331_11ebL;
        return z ^ (z >>> 31);
    }
}
