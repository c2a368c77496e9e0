package org.catkinproxy.revision;

import org.catkinproxy.id.InstanceId;

import java.util.HashSet;
import java.util.Set;

/**
 * One attempt of a process to learn the newest revision after a start or a pause.
 *
 * <p>Confined to the machine that owns it.
 */
final class Sync {
    private final long mDeadline;
    private final Set<InstanceId> mFreshPeers = new HashSet<>();
    private boolean mStoreAnswered;
    private boolean mHeard;

    Sync(long deadline) {
        mDeadline = deadline;
    }

    void storeAnswered() {
        mStoreAnswered = true;
        mHeard = true;
    }

    /** A peer that is itself behind, as after a restart of all, does not help to be sure. */
    void peerAnswered(InstanceId peer, boolean fresh) {
        mHeard = true;
        if (fresh) {
            mFreshPeers.add(peer);
        }
    }

    /** Tells whether the answers suffice to know the newest revision. */
    boolean isEnough(int peersNeeded) {
        return mStoreAnswered || peersNeeded > 0 && mFreshPeers.size() >= peersNeeded;
    }

    boolean isHeard() {
        return mHeard;
    }

    boolean isOver(long now) {
        return now >= mDeadline;
    }
}
