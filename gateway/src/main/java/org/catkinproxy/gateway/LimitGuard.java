package org.catkinproxy.gateway;

import org.catkinproxy.id.InstanceId;
import org.catkinproxy.limit.LimitReport;
import org.catkinproxy.limit.RequestLimit;
import org.catkinproxy.limit.UpstreamLimits;
import org.catkinproxy.serving.SendPermission;
import org.catkinproxy.serving.Upstream;
import org.catkinproxy.serving.UpstreamStart;
import org.catkinproxy.serving.UpstreamState;

import java.util.Collection;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.stream.Collectors;

/**
 * Keeps the limits that upstreams in need name in their responses, together with the other
 * instances.
 *
 * <p>Used by the event loop only.
 */
final class LimitGuard implements SendPermission {
    private final Gateway mGateway;
    private final InstanceId mSelf;
    private final UpstreamLimits mLimits;
    private final PeerReporter mReporter;

    LimitGuard(Gateway gateway, InstanceId self) {
        mGateway = gateway;
        mSelf = self;
        mLimits = UpstreamLimits.of(self);
        mReporter = new PeerReporter(gateway, this::report);
    }

    /** Handles the limit of a response, empty if the upstream named none. */
    void onResponse(Upstream upstream, OptionalDouble limit) {
        if (limit.isEmpty() && mLimits.isEmpty()) {
            return;
        }
        updateInstances();
        UpstreamStart start = UpstreamStart.of(upstream);
        long now = mGateway.now();
        if (mLimits.recordResponse(start, limit, now)) {
            log(new RequestLimit(start, limit, now), mSelf);
            mReporter.publishSoon();
        }
    }

    /** Handles a report of another instance. */
    void onPeerReport(PeerMessage.LimitUpdate update) {
        updateInstances();
        mLimits.merge(update.report(), mGateway.now())
                .forEach(limit -> log(limit, update.instance()));
    }

    private void log(RequestLimit limit, InstanceId reporter) {
        mGateway.log()
                .record(
                        GatewayEvent.UPSTREAM_LIMITED,
                        "upstream",
                        limit.upstream().upstream(),
                        "per_second",
                        limit.perSecond().isPresent() ? limit.perSecond().getAsDouble() : "none",
                        "reporter",
                        reporter);
    }

    /** Repeats what is known to a few other instances, once per interval. */
    void repeatReport() {
        mReporter.repeatIfDue();
    }

    private Optional<PeerMessage> report() {
        LimitReport report = mLimits.report(mGateway.now());
        return report.isEmpty()
                ? Optional.empty()
                : Optional.of(new PeerMessage.LimitUpdate(mSelf, report));
    }

    /** Drops what has ended, and takes note of instances that joined or left. */
    void expire() {
        if (mLimits.isEmpty()) {
            return;
        }
        updateInstances();
        mLimits.expire(
                mGateway.upstreamTracker().allStates().stream()
                        .map(s -> UpstreamStart.of(s.upstream()))
                        .collect(Collectors.toSet()),
                mGateway.now());
    }

    private void updateInstances() {
        mLimits.setOtherInstances(mGateway.instanceRegistry().sendingPeers(), mGateway.now());
    }

    @Override
    public boolean maySend(Upstream upstream, long now) {
        return !mLimits.isAnyLimited() || mLimits.isAllowed(UpstreamStart.of(upstream), now);
    }

    @Override
    public boolean maySendSpare(Upstream upstream, long now) {
        return !mLimits.isAnyLimited() || mLimits.hasSpare(UpstreamStart.of(upstream), now);
    }

    /** Counts a request that is sent. */
    void recordSent(Upstream upstream) {
        if (mLimits.isAnyLimited()) {
            mLimits.recordSent(UpstreamStart.of(upstream), mGateway.now());
        }
    }

    /**
     * Returns the time until one of the upstreams may get a request, in ns, empty if neither limits
     * nor pauses keep this instance from any of them, or limits from all of them for good.
     */
    OptionalLong nanosUntilAllowed(Collection<UpstreamState> upstreams) {
        long now = mGateway.now();
        return upstreams.stream()
                .filter(s -> !s.isLeaving())
                .filter(s -> !mGateway.eligibility().mayGetRequest(s, now))
                .map(s -> nanosUntilAllowed(s, now))
                .flatMapToLong(OptionalLong::stream)
                .min();
    }

    private OptionalLong nanosUntilAllowed(UpstreamState state, long now) {
        OptionalLong limitNanos =
                maySend(state.upstream(), now)
                        ? OptionalLong.of(0)
                        : mLimits.nanosUntilAllowed(UpstreamStart.of(state.upstream()), now);
        return limitNanos.isEmpty()
                ? limitNanos
                : OptionalLong.of(Math.max(limitNanos.getAsLong(), state.pauseNanos(now)));
    }
}
