package org.catkinproxy.gateway;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

import org.catkinproxy.id.InstanceId;

import io.netty.channel.EventLoop;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * The instances that serve callers, as their heartbeats in the store tell.
 *
 * <p>Each instance writes a row of its own at intervals, from when it is first ready. An instance
 * whose row stays the same for the time to live, while the store answers, is taken as gone. While
 * the store does not answer, what was known last holds. Used by the event loop only.
 */
final class Members {
    private static final String TABLE = "members";
    private static final long HEARTBEAT_MILLIS = 2_000;
    private static final long TTL_NANOS = 5_500_000_000L;

    /** The row of an instance that has been gone for so long is removed. */
    private static final long REMOVE_NANOS = 60_000_000_000L;

    private final Gateway mGateway;
    private final EventLoop mLoop;
    private final TableStore mStore;
    private final InstanceId mSelf;
    private final String mAddress;
    private final ObjectMapper mJson = new ObjectMapper();
    private final Map<String, Member> mMembers = new HashMap<>();
    private long mBeat;
    private boolean mJoined;
    private List<String> mLogged = List.of();

    /** One instance's row, and since when it has been the same. */
    private record Member(long version, String address, boolean ready, long since) {}

    Members(Gateway gateway, TableStore store, InstanceId self, String address) {
        mGateway = gateway;
        mLoop = gateway.loop();
        mStore = store;
        mSelf = self;
        mAddress = address;
    }

    void start() {
        look();
    }

    /** Begins this instance's heartbeats, unless they have begun. */
    void join() {
        if (!mJoined) {
            mJoined = true;
            heartbeat();
        }
    }

    /** Returns how many instances have a row, those included that are stopping or just gone. */
    int count() {
        return Math.max(1, mMembers.size());
    }

    /** Returns the addresses of the instances that take callers. */
    List<String> addresses() {
        long now = mGateway.now();
        List<String> addresses = new ArrayList<>();
        mMembers.forEach(
                (id, member) -> {
                    boolean alive = now - member.since() < TTL_NANOS || !mGateway.storeAnswers();
                    if (member.ready() && alive && !id.equals(mSelf.value())) {
                        addresses.add(member.address());
                    }
                });
        if (mGateway.isReady()) {
            addresses.add(mAddress);
        }
        return addresses;
    }

    /** Tells the others that this instance takes no more callers. */
    void leave() {
        write(false);
    }

    private void heartbeat() {
        if (mGateway.isStopping()) {
            return;
        }
        write(mGateway.isReady());
        mLoop.schedule(this::heartbeat, HEARTBEAT_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void write(boolean ready) {
        String row =
                mJson.createObjectNode()
                        .put("address", mAddress)
                        .put("ready", ready)
                        .put("beat", ++mBeat)
                        .toString();
        mStore.write(TABLE, mSelf.value(), row.getBytes(StandardCharsets.UTF_8))
                .subscribe(
                        v -> {},
                        e ->
                                mGateway.log()
                                        .record(
                                                GatewayEvent.STORE_WRITE_FAILED,
                                                "row",
                                                "member",
                                                "reason",
                                                e));
    }

    private void look() {
        mStore.read(TABLE)
                .subscribe(
                        this::take,
                        e ->
                                mGateway.log()
                                        .record(
                                                GatewayEvent.STORE_LOST,
                                                "table",
                                                TABLE,
                                                "reason",
                                                e));
        mLoop.schedule(this::look, HEARTBEAT_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void take(TableStore.Rows rows) {
        long now = mGateway.now();
        Map<String, Member> members = new HashMap<>();
        for (TableRow row : rows.rows()) {
            Member known = mMembers.get(row.key());
            if (known != null && known.version() == row.version()) {
                members.put(row.key(), known);
            } else {
                read(row, now).ifPresent(m -> members.put(row.key(), m));
            }
        }
        mMembers.clear();
        mMembers.putAll(members);
        removeGone(now);
        logChange();
    }

    private void removeGone(long now) {
        mMembers.forEach(
                (id, member) -> {
                    if (now - member.since() > REMOVE_NANOS) {
                        mStore.remove(TABLE, id).subscribe(v -> {}, this::writeFailed);
                    }
                });
    }

    private void writeFailed(Throwable reason) {
        mGateway.log().record(GatewayEvent.STORE_WRITE_FAILED, "row", "member", "reason", reason);
    }

    private void logChange() {
        List<String> addresses = addresses().stream().sorted().toList();
        if (!addresses.equals(mLogged)) {
            mLogged = addresses;
            mGateway.log().record(GatewayEvent.MEMBERS_CHANGED, "count", addresses.size());
        }
    }

    private Optional<Member> read(TableRow row, long now) {
        try {
            JsonNode member = mJson.readTree(row.content().orElse(new byte[0]));
            String address = member.path("address").asText();
            boolean ready = member.path("ready").asBoolean();
            return Optional.of(new Member(row.version(), address, ready, now));
        } catch (IOException e) {
            mGateway.log()
                    .record(
                            GatewayEvent.UPSTREAM_UNREADABLE,
                            "member",
                            row.key(),
                            "reason",
                            e.getMessage());
            return Optional.empty();
        }
    }
}
