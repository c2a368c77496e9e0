package org.catkinproxy.gateway;

import com.google.common.collect.Comparators;

import org.catkinproxy.error.CatkinException;
import org.catkinproxy.id.InstanceId;
import org.catkinproxy.id.ServiceId;
import org.catkinproxy.serving.EngineLimits;
import org.catkinproxy.serving.ListingVersion;
import org.catkinproxy.serving.StorePosition;
import org.catkinproxy.serving.Upstream;
import org.catkinproxy.serving.UpstreamRegistry;
import org.catkinproxy.serving.UpstreamStart;
import org.catkinproxy.serving.UpstreamState;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Tracks the listed upstreams and this instance's state of each.
 *
 * <p>Listens to the store's table of upstreams. Used by the event loop only.
 */
final class UpstreamTracker implements TableWatch.Listener {
    /**
     * Time for which entries that expired during an outage of the store are kept after its end:
     * live upstreams are listed again within two seconds.
     */
    private static final Duration RECONNECT_GRACE = Duration.ofMillis(2_300);

    /**
     * Share of the time in which a draining upstream accepts requests for which a missing entry is
     * kept if the store answers this instance but not a peer: the upstream may have left.
     */
    private static final double PEER_OUTAGE_GRACE_SHARE = 0.75;

    /** Limit for the time for which an upstream gets no requests; it is asked again after that. */
    private static final Duration MAX_PAUSE = Duration.ofMinutes(5);

    /** Cache event subscribers assumed per engine while its service is not configured. */
    private static final int DEFAULT_MAX_EVENT_SUBSCRIBERS = 8;

    private final Gateway mGateway;
    private final TableConnection mConnection;
    private final UpstreamRegistry mRegistry;
    private final Map<ServiceId, Map<InstanceId, UpstreamState>> mStates = new HashMap<>();

    /** Until when upstreams want no requests, also while they are not listed. */
    private final Map<UpstreamStart, Long> mPausedUntil = new HashMap<>();

    private boolean mLoaded;

    UpstreamTracker(Gateway gateway, Duration upstreamDrainTime) {
        mGateway = gateway;
        mConnection = new TableConnection(gateway.log(), "upstreams");
        long peerOutageGraceNanos = (long) (PEER_OUTAGE_GRACE_SHARE * upstreamDrainTime.toNanos());
        mRegistry =
                UpstreamRegistry.create(
                        RECONNECT_GRACE, Duration.ofNanos(peerOutageGraceNanos), new RegistryLog());
    }

    /** Logs the decisions of the registry that the list of upstreams does not show. */
    private final class RegistryLog implements UpstreamRegistry.Listener {
        @Override
        public void onDraining(Upstream upstream) {
            mGateway.log()
                    .record(
                            GatewayEvent.UPSTREAM_DRAINING,
                            "upstream",
                            upstream.id(),
                            "entry",
                            upstream.listingVersion());
        }

        @Override
        public void onOlderEntry(Upstream upstream, ListingVersion known) {
            mGateway.log()
                    .record(
                            GatewayEvent.UPSTREAM_ROW_OLDER,
                            "upstream",
                            upstream.id(),
                            "entry",
                            upstream.listingVersion(),
                            "known",
                            known,
                            "draining",
                            upstream.draining());
        }

        @Override
        public void onRetained(Upstream upstream) {
            mGateway.log()
                    .record(
                            GatewayEvent.UPSTREAM_RETAINED,
                            "upstream",
                            upstream.id(),
                            "entry",
                            upstream.listingVersion());
        }
    }

    /** Returns whether the table has been read since the start. */
    boolean isLoaded() {
        return mLoaded;
    }

    /** Returns whether the last poll of the table succeeded. */
    boolean isConnected() {
        return mConnection.isConnected();
    }

    /**
     * Handles a peer's report that the store does not respond to it; entries may expire meanwhile.
     *
     * @return whether the store should be checked now, with {@link #onStoreChecked} or {@link
     *     #onStoreCheckFailed} for the result
     */
    boolean onPeerStoreOutage() {
        return mRegistry.onPeerStoreOutage(mGateway.now());
    }

    /** Handles a peer's report that the store has answered it at {@code answeredAt}. */
    void onPeerAnswered(long answeredAt) {
        mRegistry.onPeerAnswered(answeredAt);
    }

    /** Returns when the store last answered this instance, empty if it has not yet. */
    OptionalLong storeAnsweredAt() {
        return mRegistry.storeAnsweredAt();
    }

    /** Handles a return of the store from a copy. */
    void onStoreRestored() {
        mRegistry.onStoreRestored(mGateway.now());
    }

    /** Returns whether a check of the store that failed should be repeated now. */
    boolean startRepeatedStoreCheck() {
        return mRegistry.startRepeatedStoreCheck();
    }

    /** Handles the response of the store to a check. */
    void onStoreChecked() {
        mRegistry.onStoreChecked(mGateway.now());
    }

    /** Handles a check without a response of the store. */
    void onStoreCheckFailed(Throwable reason) {
        mRegistry.onStoreCheckFailed();
        mGateway.log()
                .record(GatewayEvent.STORE_READ_FAILED, "table", "upstreams", "reason", reason);
    }

    /** Records that an upstream said that it leaves, which holds until it starts anew. */
    void onLeaving(UpstreamState state) {
        state.recordLeaving();
        if (mRegistry.recordLeaving(state.upstream())) {
            refresh();
            mGateway.connectionPool().closeIdle(state.upstream());
            mGateway.log().record(GatewayEvent.UPSTREAM_LEAVING, "upstream", state.upstream().id());
        }
    }

    /** Records that an upstream wants no requests for a time. */
    void onPause(UpstreamState state, RetryAfter retryAfter) {
        if (retryAfter.delay().isEmpty()) {
            mGateway.log()
                    .record(
                            GatewayEvent.RETRY_AFTER_UNREADABLE,
                            "upstream",
                            state.upstream().id(),
                            "value",
                            retryAfter.text());
            return;
        }
        Duration delay = Comparators.min(retryAfter.delay().get(), MAX_PAUSE);
        long until = mGateway.now() + delay.toNanos();
        if (state.pauseUntil(until)) {
            mPausedUntil.put(UpstreamStart.of(state.upstream()), until);
            mGateway.log()
                    .record(
                            GatewayEvent.UPSTREAM_PAUSED,
                            "upstream",
                            state.upstream().id(),
                            "pause_ms",
                            delay.toMillis());
        }
    }

    /** Returns the states of a service's upstreams. */
    Collection<UpstreamState> states(ServiceId service) {
        return mStates.getOrDefault(service, Map.of()).values();
    }

    /** Returns the state of an upstream process, empty if it is no longer listed. */
    Optional<UpstreamState> state(Upstream upstream) {
        return states(upstream.service()).stream()
                .filter(s -> s.upstream().isSameIncarnation(upstream))
                .findFirst();
    }

    /** Returns the states of all upstreams. */
    List<UpstreamState> allStates() {
        return mStates.values().stream().flatMap(states -> states.values().stream()).toList();
    }

    /** Returns the states of all model engines. */
    List<UpstreamState> engineStates() {
        return allStates().stream().filter(s -> !s.upstream().weightsVersions().isEmpty()).toList();
    }

    /** Returns whether {@code state} is still in use, and not removed or replaced. */
    private boolean isCurrent(UpstreamState state) {
        Upstream upstream = state.upstream();
        return mStates.getOrDefault(upstream.service(), Map.of()).get(upstream.id()) == state;
    }

    /** Returns the model engines that are listed and not draining. */
    List<Upstream> activeEngines() {
        List<Upstream> engines = new ArrayList<>();
        mRegistry
                .all()
                .forEachRemaining(
                        u -> {
                            if (!u.draining() && !u.weightsVersions().isEmpty()) {
                                engines.add(u);
                            }
                        });
        return engines;
    }

    /** Removes the entries that were kept for the grace period and are still missing. */
    void expire() {
        long now = mGateway.now();
        mPausedUntil.values().removeIf(until -> until - now <= 0);
        if (mRegistry.expire(now)) {
            refresh();
        }
    }

    @Override
    public void onTable(List<TableRow> rows) {
        List<Upstream> upstreams = new ArrayList<>();
        rows.forEach(r -> parse(r).ifPresent(upstreams::add));
        mRegistry.replaceAll(upstreams, mGateway.now());
        mLoaded = true;
        refresh();
        mGateway.joinIfReady();
    }

    @Override
    public void onChanges(List<TableRow> rows) {
        for (TableRow row : rows) {
            Optional<Upstream> upstream = parse(row);
            if (upstream.isPresent()) {
                mRegistry.put(upstream.get());
            } else {
                instanceId(row).ifPresent(id -> remove(id, row));
            }
        }
        refresh();
    }

    private void remove(InstanceId id, TableRow row) {
        if (row.content().isEmpty()) {
            mRegistry.remove(id, mGateway.now());
        } else {
            mRegistry.removeMissing(id, mGateway.now());
        }
    }

    @Override
    public void onConnected() {
        mRegistry.onStoreAvailable(mGateway.now());
        mConnection.onConnected();
    }

    @Override
    public void onRead(StorePosition position, StorePosition newestRow) {
        mConnection.onRead(position, newestRow);
    }

    @Override
    public void onBehind(StorePosition known, StorePosition hinted) {
        mConnection.onBehind(known, hinted);
    }

    @Override
    public void onOverdue() {
        mConnection.onOverdue();
    }

    @Override
    public void onDisconnected(CatkinException reason, long attemptedAt) {
        mRegistry.onStoreUnavailable(mGateway.now(), attemptedAt);
        mConnection.onDisconnected(reason);
    }

    private Optional<Upstream> parse(TableRow row) {
        if (row.content().isEmpty()) {
            return Optional.empty();
        }
        try {
            return Optional.of(mGateway.rowReader().readUpstream(row.key(), row.content().get()));
        } catch (IllegalArgumentException e) {
            mGateway.log()
                    .record(
                            GatewayEvent.UPSTREAM_UNREADABLE,
                            "upstream",
                            row.key(),
                            "reason",
                            e.getMessage());
            return Optional.empty();
        }
    }

    private static Optional<InstanceId> instanceId(TableRow row) {
        try {
            return Optional.of(InstanceId.named(row.key()));
        } catch (IllegalArgumentException e) {
            // The row was logged as unreadable when it was read, and is not listed.
            return Optional.empty();
        }
    }

    /** Adds and removes states to match the registry. */
    private void refresh() {
        mRegistry.all().forEachRemaining(this::refresh);
        for (Map<InstanceId, UpstreamState> states : mStates.values()) {
            states.values().removeIf(this::dropIfUnlisted);
        }
    }

    private void refresh(Upstream upstream) {
        Map<InstanceId, UpstreamState> states =
                mStates.computeIfAbsent(upstream.service(), k -> new HashMap<>());
        UpstreamState state = states.get(upstream.id());
        if (state != null && state.upstream().isSameIncarnation(upstream)) {
            if (state.updateListing(upstream)) {
                mGateway.log()
                        .record(
                                GatewayEvent.UPSTREAM_WEIGHTS,
                                "upstream",
                                upstream.id(),
                                "weights",
                                upstream.weightsVersions());
            }
            return;
        }
        if (state != null) {
            state.markGone();
            mGateway.connectionPool().closeIdle(state.upstream());
        }
        UpstreamState newState = UpstreamState.of(upstream);
        states.put(upstream.id(), newState);
        Optional.ofNullable(mPausedUntil.get(UpstreamStart.of(upstream)))
                .ifPresent(newState::pauseUntil);
        if (!upstream.weightsVersions().isEmpty()) {
            trackCache(newState);
        }
        mGateway.log()
                .record(
                        GatewayEvent.UPSTREAM_LISTED,
                        "upstream",
                        upstream.id(),
                        "incarnation",
                        upstream.incarnation(),
                        "service",
                        upstream.service(),
                        "leaving",
                        newState.isLeaving());
    }

    private void trackCache(UpstreamState state) {
        int maxEventSubscribers =
                mGateway.engineLimits(state.upstream().service())
                        .map(EngineLimits::maxEventSubscribers)
                        .orElse(DEFAULT_MAX_EVENT_SUBSCRIBERS);
        mGateway.cacheTracker()
                .track(
                        state.upstream().address(),
                        state.promptCache(),
                        maxEventSubscribers,
                        () -> isCurrent(state));
    }

    private boolean dropIfUnlisted(UpstreamState state) {
        if (isListed(state.upstream())) {
            return false;
        }
        state.markGone();
        mGateway.connectionPool().closeIdle(state.upstream());
        mGateway.log()
                .record(
                        GatewayEvent.UPSTREAM_GONE,
                        "upstream",
                        state.upstream().id(),
                        "service",
                        state.upstream().service());
        return true;
    }

    private boolean isListed(Upstream upstream) {
        return mRegistry
                .find(upstream.id())
                .filter(u -> u.isSameIncarnation(upstream))
                .filter(u -> u.service().equals(upstream.service()))
                .isPresent();
    }
}
