package org.catkinproxy.gateway;

import org.catkinproxy.id.InstanceId;
import org.catkinproxy.serving.FleetIntervals;
import org.catkinproxy.serving.ProberElection;
import org.catkinproxy.serving.StorePolling;
import org.catkinproxy.serving.StorePosition;

import java.util.Map;
import java.util.OptionalLong;

/**
 * The duty of one instance of the fleet to notice when connections to the store fall silent.
 *
 * <p>As long as this instance is the prober, its polls wait for a short time only, and it reports
 * each change to its peers soon, so that they notice which changes they miss. Used by the event
 * loop only.
 */
final class StoreProber {
    private final Gateway mGateway;
    private final InstanceId mSelf;

    /** Since when this instance accepts callers and reaches the store, empty while it does not. */
    private OptionalLong mEligibleSince = OptionalLong.empty();

    private boolean mIsProber;
    private Map<String, StorePosition> mReported = Map.of();

    StoreProber(Gateway gateway, InstanceId self) {
        mGateway = gateway;
        mSelf = self;
    }

    /** Returns whether this instance is the prober. */
    boolean isProber() {
        return mIsProber;
    }

    /** Determines whether this instance is the prober; must be called regularly. */
    void update() {
        long now = mGateway.now();
        updateEligibility(now);
        boolean isProber =
                ProberElection.isProber(
                        mSelf, mEligibleSince, mGateway.instanceRegistry().proberPeers(), now);
        if (isProber != mIsProber) {
            mIsProber = isProber;
            mGateway.log().record(GatewayEvent.PROBER_CHANGED, "prober", isProber);
            if (isProber) {
                mGateway.tableWatches().pollNow();
            }
        }
        if (isProber && areHeartbeatsRare()) {
            report();
        }
    }

    private void updateEligibility(long now) {
        if (!mGateway.isReady() || !mGateway.isStoreReachable()) {
            mEligibleSince = OptionalLong.empty();
        } else if (mEligibleSince.isEmpty()) {
            mEligibleSince = OptionalLong.of(now);
        }
    }

    /** Returns whether the usual heartbeats would report a change later than the prober has to. */
    private boolean areHeartbeatsRare() {
        return FleetIntervals.heartbeatInterval(mGateway.instanceCount())
                        .compareTo(StorePolling.SWEEP_INTERVAL)
                > 0;
    }

    private void report() {
        Map<String, StorePosition> positions = mGateway.tableWatches().positions();
        if (positions.equals(mReported)) {
            mGateway.peerMessenger().sendHeartbeatToProberCandidates();
        } else {
            mReported = positions;
            mGateway.peerMessenger().sendHeartbeat();
        }
    }
}
