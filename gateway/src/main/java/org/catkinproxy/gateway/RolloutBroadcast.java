package org.catkinproxy.gateway;

import org.catkinproxy.id.InstanceId;
import org.catkinproxy.serving.RolloutState;
import org.catkinproxy.serving.UpstreamState;

import java.util.Map;
import java.util.Set;

/**
 * Sends the state of a rollout from the instance that holds its lease to the other instances.
 *
 * <p>Without it, each instance would learn from rejections which engines change their weights, and
 * each rejection consumes retry budget. The holder repeats the current state, since datagrams get
 * lost. Used by the event loop only.
 */
final class RolloutBroadcast {
    /** Time after which a state that is not repeated no longer keeps requests from engines. */
    private static final long STATE_TTL_NANOS = 3_000_000_000L;

    private static final long REPUBLISH_INTERVAL_NANOS = 500_000_000L;

    /**
     * Time since a holder's last message that is assumed at the start, long enough for any instance
     * to try to acquire the lease.
     */
    private static final long INITIAL_SILENCE_NANOS = 3_600_000_000_000L;

    private final Gateway mGateway;
    private final InstanceId mSelf;
    private RolloutState mLastPublished = new RolloutState(Set.of(), Map.of());
    private long mLastPublishedAt;
    private long mHolderMessageAt;
    private Set<InstanceId> mChanging = Set.of();

    RolloutBroadcast(Gateway gateway, InstanceId self) {
        mGateway = gateway;
        mSelf = self;
        mHolderMessageAt = gateway.now() - INITIAL_SILENCE_NANOS;
    }

    /**
     * Applies a state and sends it to the other instances, unless the same was sent just before.
     */
    void publish(RolloutState state) {
        long now = mGateway.now();
        if (state.equals(mLastPublished) && now - mLastPublishedAt < REPUBLISH_INTERVAL_NANOS) {
            return;
        }
        mLastPublished = state;
        mLastPublishedAt = now;
        apply(state);
        mGateway.peerMessenger().send(new PeerMessage.RolloutUpdate(mSelf, state));
    }

    /** Applies a state received from the holder, which is another instance. */
    void onPeerState(RolloutState state) {
        mHolderMessageAt = mGateway.now();
        apply(state);
    }

    /** Returns the time in ns since another holder's last message. */
    long nanosSinceHolderMessage() {
        return mGateway.now() - mHolderMessageAt;
    }

    private void apply(RolloutState state) {
        long now = mGateway.now();
        for (UpstreamState engine : mGateway.upstreamTracker().engineStates()) {
            InstanceId id = engine.upstream().id();
            state.confirmedVersions()
                    .getOrDefault(id, Map.of())
                    .forEach((model, version) -> engine.recordVersion(model, version));
            if (state.changingEngines().contains(id)) {
                engine.markRejecting(now, STATE_TTL_NANOS);
            } else if (mChanging.contains(id)) {
                engine.clearRejecting();
            }
        }
        mChanging = state.changingEngines();
    }
}
