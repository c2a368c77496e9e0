package org.catkinproxy.revision;

import org.catkinproxy.id.InstanceId;

import java.util.HashSet;
import java.util.Set;

/**
 * One attempt of an instance to learn the newest revision after a start or a pause.
 *
 * <p>Not thread-safe; owned by a {@link RevisionStateMachine}.
 */
final class RevisionSync {
    private final long mDeadlineMillis;
    private final Set<InstanceId> mFreshPeers = new HashSet<>();
    private boolean mStoreResponded;
    private boolean mAnyResponse;

    RevisionSync(long deadlineMillis) {
        mDeadlineMillis = deadlineMillis;
    }

    void onStoreResponse() {
        mStoreResponded = true;
        mAnyResponse = true;
    }

    /**
     * A peer that is not fresh, as after a restart of all, may itself not know the newest revision.
     */
    void onPeerResponse(InstanceId peer, boolean fresh) {
        mAnyResponse = true;
        if (fresh) {
            mFreshPeers.add(peer);
        }
    }

    /** Returns whether the responses suffice to know the newest revision. */
    boolean isSufficient(int requiredPeers) {
        return mStoreResponded || requiredPeers > 0 && mFreshPeers.size() >= requiredPeers;
    }

    boolean hasResponse() {
        return mAnyResponse;
    }

    boolean isPastDeadline(long now) {
        return now >= mDeadlineMillis;
    }
}
