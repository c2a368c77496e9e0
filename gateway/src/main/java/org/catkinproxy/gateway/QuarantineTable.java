package org.catkinproxy.gateway;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

import org.catkinproxy.id.Incarnation;
import org.catkinproxy.id.InstanceId;
import org.catkinproxy.id.RequestId;
import org.catkinproxy.quarantine.PromptFailure;
import org.catkinproxy.quarantine.Quarantine;
import org.catkinproxy.serving.UpstreamStart;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * The quarantines in the platform's store, from which instances learn them that start when no other
 * one is left.
 *
 * <p>Expiry times are stored as time of day; a clock that is off by seconds matters little to
 * quarantines, which last for minutes. Used by the event loop only.
 */
final class QuarantineTable {
    private static final String TABLE = "quarantines";

    private static final long RETRY_MILLIS = 1_000;
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final int HEX_RADIX = 16;

    private final Gateway mGateway;
    private final TableStore mStore;
    private final ObjectMapper mJson = new ObjectMapper();

    /** The parts of the quarantines as this instance has read or written them. */
    private final Map<Quarantine.Key, Set<Long>> mStoredParts = new HashMap<>();

    QuarantineTable(Gateway gateway, TableStore store) {
        mGateway = gateway;
        mStore = store;
    }

    /** Reads all quarantines; retries until the store responds. */
    void read(Consumer<List<Quarantine>> listener) {
        mStore.read(TABLE)
                .subscribe(
                        rows -> listener.accept(decodeAll(rows)),
                        reason -> retryRead(listener, reason));
    }

    private void retryRead(Consumer<List<Quarantine>> listener, Throwable reason) {
        mGateway.log().record(GatewayEvent.STORE_READ_FAILED, "row", TABLE, "reason", reason);
        mGateway.loop().schedule(() -> read(listener), RETRY_MILLIS, TimeUnit.MILLISECONDS);
    }

    private List<Quarantine> decodeAll(TableStore.Rows rows) {
        List<Quarantine> quarantines = new ArrayList<>();
        for (TableRow row : rows.rows()) {
            decode(row, quarantines);
        }
        return quarantines;
    }

    private void decode(TableRow row, List<Quarantine> quarantines) {
        try {
            Quarantine quarantine = decode(mJson.readTree(row.content().orElse(new byte[0])));
            if (quarantine.expiresAt() - mGateway.now() > 0) {
                mStoredParts.put(quarantine.key(), quarantine.parts());
                quarantines.add(quarantine);
            } else {
                mStore.remove(TABLE, row.key()).subscribe(v -> {}, this::logWriteFailure);
            }
        } catch (IOException | IllegalArgumentException e) {
            mGateway.log()
                    .record(
                            GatewayEvent.QUARANTINE_UNREADABLE,
                            "row",
                            row.key(),
                            "reason",
                            e.getMessage());
        }
    }

    private Quarantine decode(JsonNode row) {
        UpstreamStart engine =
                new UpstreamStart(
                        InstanceId.named(row.path("engine").asText()),
                        Incarnation.of(row.path("incarnation").asText()));
        PromptFailure.Key failure =
                new PromptFailure.Key(engine, RequestId.named(row.path("request").asText()));
        long leftMillis = row.path("expires_unix_ms").asLong() - System.currentTimeMillis();
        return new Quarantine(
                new Quarantine.Key(failure, decodeParts(row.path("initial_parts"))),
                decodeParts(row.path("parts")),
                mGateway.now() + leftMillis * NANOS_PER_MILLI);
    }

    private static Set<Long> decodeParts(JsonNode array) {
        Set<Long> parts = new HashSet<>();
        array.forEach(p -> parts.add(Long.parseUnsignedLong(p.asText(), HEX_RADIX)));
        return parts;
    }

    /** Writes the quarantines that are not in the store as they are given. */
    void write(List<Quarantine> quarantines) {
        for (Quarantine quarantine : quarantines) {
            Set<Long> stored = mStoredParts.put(quarantine.key(), quarantine.parts());
            if (!quarantine.parts().equals(stored)) {
                mStore.write(TABLE, rowKey(quarantine), encode(quarantine))
                        .subscribe(v -> {}, reason -> forget(quarantine, reason));
            }
        }
    }

    /** Lets the next {@link #write} write all quarantines again that are not read before it. */
    void forgetStored() {
        mStoredParts.clear();
    }

    /** Lets the next {@link #write} write a quarantine again. */
    private void forget(Quarantine quarantine, Throwable reason) {
        mStoredParts.remove(quarantine.key());
        logWriteFailure(reason);
    }

    private void logWriteFailure(Throwable reason) {
        mGateway.log()
                .record(GatewayEvent.STORE_WRITE_FAILED, "row", "quarantine", "reason", reason);
    }

    private static String rowKey(Quarantine quarantine) {
        PromptFailure.Key failure = quarantine.key().newestFailure();
        return Integer.toHexString(quarantine.key().initialParts().hashCode())
                + "-"
                + failure.request().value();
    }

    private byte[] encode(Quarantine quarantine) {
        PromptFailure.Key failure = quarantine.key().newestFailure();
        long leftMillis = (quarantine.expiresAt() - mGateway.now()) / NANOS_PER_MILLI;
        ObjectNode row =
                mJson.createObjectNode()
                        .put("engine", failure.engine().upstream().value())
                        .put("incarnation", failure.engine().incarnation().value())
                        .put("request", failure.request().value())
                        .put("expires_unix_ms", System.currentTimeMillis() + leftMillis);
        encodeParts(row.putArray("initial_parts"), quarantine.key().initialParts());
        encodeParts(row.putArray("parts"), quarantine.parts());
        return row.toString().getBytes(StandardCharsets.UTF_8);
    }

    private static void encodeParts(ArrayNode array, Set<Long> parts) {
        parts.stream().map(Long::toHexString).forEach(array::add);
    }
}
