package org.catkinproxy.gateway;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.net.HostAndPort;
import com.google.common.net.InetAddresses;

import org.catkinproxy.id.InstanceId;
import org.catkinproxy.serving.FleetIntervals;
import org.catkinproxy.serving.PeerLoads;
import org.catkinproxy.serving.ProberElection;
import org.catkinproxy.serving.StorePosition;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

/**
 * The registry of gateway instances that serve callers.
 *
 * <p>Each instance writes a row to the store once it is ready, by which the others discover it.
 * After that it sends them heartbeats in datagrams. An instance whose heartbeats are missing for
 * the heartbeat timeout is no longer returned to callers. Used by the event loop only.
 */
final class InstanceRegistry {
    private static final String TABLE = "members";

    /**
     * Interval between reads of the table. Reads can be rare, since an instance reads the table
     * after it has written its row and then sends heartbeats to all others.
     */
    private static final long POLL_MILLIS = 20_000;

    /** Delay before a failed read of the table or a failed write of the row is retried. */
    private static final long RETRY_MILLIS = 1_000;

    /** Interval between heartbeats to instances that do not send any. */
    private static final long PROBE_NANOS = 1_000_000_000L;

    /**
     * Time for which a silent instance counts, since it may still use its share of retry budgets.
     */
    private static final long COUNTED_AFTER_SILENCE_NANOS = 12_000_000_000L;

    /** Time after which the row of a silent instance is deleted. */
    private static final long REMOVE_ROW_AFTER_NANOS = 60_000_000_000L;

    private final Gateway mGateway;
    private final TableStore mStore;
    private final InstanceId mSelf;
    private final HostAndPort mCallerAddress;
    private final HostAndPort mPeerAddress;
    private final ObjectMapper mJson = new ObjectMapper();
    private final Map<InstanceId, Member> mMembers = new HashMap<>();
    private Map<InstanceId, InetSocketAddress> mPeerAddresses = Map.of();
    private Set<InstanceId> mReadyPeers = Set.of();
    private List<String> mLoggedAddresses = List.of();
    private boolean mJoined;
    private long mLastProbeAt = System.nanoTime();

    /**
     * Another instance.
     *
     * @param callerAddress the address at which callers connect
     * @param peerAddress the address to which heartbeats and other datagrams are sent
     * @param ready whether it accepts callers
     * @param storeReachable whether it has reported that the store responds to it
     * @param lastSeenAt when its last heartbeat arrived, or when its row was first read
     */
    private record Member(
            HostAndPort callerAddress,
            InetSocketAddress peerAddress,
            boolean ready,
            boolean storeReachable,
            long lastSeenAt) {}

    InstanceRegistry(Gateway gateway, TableStore store) {
        GatewaySettings settings = gateway.settings();
        mGateway = gateway;
        mStore = store;
        mSelf = settings.instance();
        mCallerAddress = hostAndPort(settings.callerAddress());
        mPeerAddress = hostAndPort(settings.peerAddress());
    }

    private static HostAndPort hostAndPort(InetSocketAddress address) {
        return HostAndPort.fromParts(address.getAddress().getHostAddress(), address.getPort());
    }

    void start() {
        readTable();
        scheduleNextRead();
    }

    /** Writes this instance's row again if the store came back from a copy without it. */
    void onStoreRestored() {
        long millis = FleetIntervals.rewriteDelay(instanceCount(), mGateway.random()).toMillis();
        mGateway.loop().schedule(this::readTable, millis, TimeUnit.MILLISECONDS);
    }

    /** Announces that this instance accepts callers; does nothing after the first call. */
    void join() {
        if (!mJoined) {
            mJoined = true;
            writeRow();
            mGateway.peerMessenger().sendHeartbeat();
        }
    }

    /** Announces that this instance no longer accepts callers. */
    void leave() {
        mGateway.peerMessenger().sendHeartbeat();
        if (mJoined) {
            mStore.remove(TABLE, mSelf.value()).subscribe(v -> {}, this::logWriteFailure);
        }
    }

    /** Returns the number of instances, including this one and those stopping or recently gone. */
    int instanceCount() {
        long now = mGateway.now();
        return 1
                + (int)
                        mMembers.values().stream()
                                .filter(m -> now - m.lastSeenAt() < COUNTED_AFTER_SILENCE_NANOS)
                                .count();
    }

    /** Returns the addresses of the instances that accept callers, as {@code host:port}. */
    List<String> callerAddresses() {
        List<String> addresses = new ArrayList<>();
        mReadyPeers.forEach(id -> addresses.add(mMembers.get(id).callerAddress().toString()));
        if (mGateway.isReady()) {
            addresses.add(mCallerAddress.toString());
        }
        return addresses;
    }

    /** Returns the datagram addresses of the other instances, including those that are stopping. */
    Map<InstanceId, InetSocketAddress> peerAddresses() {
        return mPeerAddresses;
    }

    /**
     * Returns the addresses of the instances that have been silent for a while, once per probe
     * interval. Heartbeats to them end the silence of two instances that were cut from each other.
     */
    List<InetSocketAddress> silentPeersToProbe() {
        long now = mGateway.now();
        if (now - mLastProbeAt < PROBE_NANOS) {
            return List.of();
        }
        mLastProbeAt = now;
        return mMembers.entrySet().stream()
                .filter(e -> !mPeerAddresses.containsKey(e.getKey()))
                .map(e -> e.getValue().peerAddress())
                .toList();
    }

    /** Returns the other instances that are alive, as the election of the prober sees them. */
    List<ProberElection.Peer> proberPeers() {
        return mPeerAddresses.keySet().stream().map(this::proberPeer).toList();
    }

    private ProberElection.Peer proberPeer(InstanceId id) {
        Member member = mMembers.get(id);
        return new ProberElection.Peer(
                id, member.ready() && member.storeReachable(), member.lastSeenAt());
    }

    /** Returns the other instances that accept callers. */
    Set<InstanceId> readyPeers() {
        return mReadyPeers;
    }

    /**
     * Returns the other instances that may send requests to upstreams: those that accept callers,
     * also if they have been silent for a short time.
     */
    Set<InstanceId> sendingPeers() {
        long now = mGateway.now();
        return mMembers.entrySet().stream()
                .filter(e -> e.getValue().ready())
                .filter(e -> now - e.getValue().lastSeenAt() < COUNTED_AFTER_SILENCE_NANOS)
                .map(Map.Entry::getKey)
                .collect(Collectors.toSet());
    }

    /** Creates a heartbeat of this instance. */
    PeerMessage.Heartbeat heartbeat(
            Map<InstanceId, PeerLoads.Load> loadByUpstream,
            Map<String, StorePosition> tablePositions) {
        return new PeerMessage.Heartbeat(
                mSelf,
                mCallerAddress,
                mPeerAddress,
                mGateway.isReady(),
                mGateway.isStoreReachable(),
                storeAnsweredNanosAgo(),
                loadByUpstream,
                tablePositions);
    }

    private OptionalLong storeAnsweredNanosAgo() {
        OptionalLong answeredAt = mGateway.upstreamTracker().storeAnsweredAt();
        return answeredAt.isPresent()
                ? OptionalLong.of(mGateway.now() - answeredAt.getAsLong())
                : OptionalLong.empty();
    }

    /**
     * Handles a heartbeat.
     *
     * @return whether it is from another instance and was sent from the address that it names
     */
    boolean onHeartbeat(PeerMessage.Heartbeat heartbeat, InetSocketAddress sender) {
        InetSocketAddress peerAddress = socketAddress(heartbeat.peerAddress());
        if (heartbeat.instance().equals(mSelf) || !peerAddress.equals(sender)) {
            return false;
        }
        mMembers.put(
                heartbeat.instance(),
                new Member(
                        heartbeat.callerAddress(),
                        peerAddress,
                        heartbeat.ready(),
                        heartbeat.storeReachable(),
                        mGateway.now()));
        boolean known = peerAddress.equals(mPeerAddresses.get(heartbeat.instance()));
        if (!known || heartbeat.ready() != mReadyPeers.contains(heartbeat.instance())) {
            refresh();
        }
        return true;
    }

    /** Removes the instances whose heartbeat timeout has passed. */
    void expire() {
        long now = mGateway.now();
        if (mPeerAddresses.keySet().stream().anyMatch(id -> !isAlive(mMembers.get(id), now))) {
            refresh();
        }
    }

    private boolean isAlive(Member member, long now) {
        long silence = FleetIntervals.heartbeatTimeout(mMembers.size()).toNanos();
        return member != null && now - member.lastSeenAt() < silence;
    }

    private void refresh() {
        long now = mGateway.now();
        Map<InstanceId, InetSocketAddress> peerAddresses = new HashMap<>();
        Set<InstanceId> readyPeers = new HashSet<>();
        mMembers.forEach(
                (id, member) -> {
                    if (isAlive(member, now)) {
                        peerAddresses.put(id, member.peerAddress());
                        if (member.ready()) {
                            readyPeers.add(id);
                        }
                    }
                });
        mPeerAddresses = Map.copyOf(peerAddresses);
        mReadyPeers = Set.copyOf(readyPeers);
        mGateway.onMembersChanged();
        logChange();
    }

    private void logChange() {
        List<String> addresses = callerAddresses().stream().sorted().toList();
        if (!addresses.equals(mLoggedAddresses)) {
            mLoggedAddresses = addresses;
            mGateway.log().record(GatewayEvent.MEMBERS_CHANGED, "count", addresses.size());
        }
    }

    private void scheduleNextRead() {
        long millis = (long) (POLL_MILLIS * (0.75 + 0.5 * mGateway.random().nextDouble()));
        mGateway.loop()
                .schedule(
                        () -> {
                            scheduleNextRead();
                            readTable();
                        },
                        millis,
                        TimeUnit.MILLISECONDS);
    }

    private void readTable() {
        mStore.read(TABLE).subscribe(this::applyRows, this::retryRead);
    }

    private void retryRead(Throwable reason) {
        mGateway.log().record(GatewayEvent.STORE_LOST, "table", TABLE, "reason", reason);
        mGateway.loop().schedule(this::readTable, RETRY_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void applyRows(TableStore.Rows rows) {
        long now = mGateway.now();
        boolean listed = false;
        for (TableRow row : rows.rows()) {
            if (row.key().equals(mSelf.value())) {
                listed = Arrays.equals(row.content().orElse(new byte[0]), encode());
            } else {
                applyRow(row, now);
            }
        }
        if (mJoined && !listed) {
            writeRow();
        }
        refresh();
    }

    private void applyRow(TableRow row, long now) {
        try {
            InstanceId id = InstanceId.named(row.key());
            Member member = decode(row.content().orElse(new byte[0]), now);
            Member known = mMembers.get(id);
            if (known != null && isAlive(known, now)) {
                // A heartbeat is newer than any row, which may be from a copy of the store.
                return;
            }
            if (known == null || !known.callerAddress().equals(member.callerAddress())) {
                mMembers.put(id, member);
            } else if (now - known.lastSeenAt() > REMOVE_ROW_AFTER_NANOS) {
                mMembers.remove(id);
                mStore.remove(TABLE, row.key()).subscribe(v -> {}, this::logWriteFailure);
            }
        } catch (IOException | IllegalArgumentException e) {
            mGateway.log()
                    .record(
                            GatewayEvent.MEMBER_UNREADABLE,
                            "row",
                            row.key(),
                            "reason",
                            e.getMessage());
        }
    }

    private void writeRow() {
        if (!mGateway.isStopping()) {
            mStore.write(TABLE, mSelf.value(), encode())
                    .subscribe(version -> readTable(), this::retryWrite);
        }
    }

    private void retryWrite(Throwable reason) {
        logWriteFailure(reason);
        mGateway.loop().schedule(this::writeRow, RETRY_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void logWriteFailure(Throwable reason) {
        mGateway.log().record(GatewayEvent.STORE_WRITE_FAILED, "row", "member", "reason", reason);
    }

    private byte[] encode() {
        return mJson.createObjectNode()
                .put("front", mCallerAddress.toString())
                .put("peers", mPeerAddress.toString())
                .toString()
                .getBytes(StandardCharsets.UTF_8);
    }

    private Member decode(byte[] content, long now) throws IOException {
        JsonNode row = mJson.readTree(content);
        return new Member(
                HostAndPort.fromString(row.path("front").asText()),
                socketAddress(HostAndPort.fromString(row.path("peers").asText())),
                true,
                false,
                now);
    }

    private static InetSocketAddress socketAddress(HostAndPort address) {
        return new InetSocketAddress(InetAddresses.forString(address.getHost()), address.getPort());
    }
}
