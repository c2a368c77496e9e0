package org.catkinproxy.serving;

import org.catkinproxy.id.InstanceId;

import java.util.Collection;

/**
 * Decides which of several instances tries to acquire a lease first.
 *
 * <p>Only the lease itself determines its holder. The order keeps instances from trying all at
 * once, which would cost calls to the store, for example when every instance wants the lease after
 * a new version of weights was set. Stateless and thread-safe.
 */
public final class LeaseAcquisitionOrder {
    /** Additional delay of each instance after the one before it in the order. */
    private static final long DELAY_PER_POSITION_NANOS = 400_000_000L;

    /** Instances behind this position wait no longer than the instance at this position. */
    private static final int MAX_POSITION = 3;

    /** Time after its last message for which the holder counts as alive. */
    private static final long HOLDER_TIMEOUT_NANOS = 800_000_000L;

    private LeaseAcquisitionOrder() {}

    /** Returns the position of {@code self} in the order of the instances; 0 is the first. */
    public static int position(InstanceId self, Collection<InstanceId> others) {
        long ownRank = rank(self);
        long lowerRanked =
                others.stream().filter(i -> !i.equals(self) && rank(i) < ownRank).count();
        return (int) Math.min(MAX_POSITION, lowerRanked);
    }

    /**
     * Returns whether the instance should try to acquire the lease now.
     *
     * @param position the position of the instance in the order
     * @param neededNanos for how long the lease has been needed, in ns
     * @param holderSilentNanos the time since the last message of any holder, in ns
     */
    public static boolean shouldTryAcquire(int position, long neededNanos, long holderSilentNanos) {
        return holderSilentNanos >= HOLDER_TIMEOUT_NANOS
                && neededNanos >= position * DELAY_PER_POSITION_NANOS;
    }

    /**
     * Returns whether the instance should read the lease before it is needed: those that would try
     * to acquire it first do, as each read is a call to the store.
     */
    public static boolean shouldObserve(int position) {
        return position < MAX_POSITION;
    }

    private static long rank(InstanceId instance) {
        return Prompt.scopedHash("lease", instance.value().hashCode());
    }
}
