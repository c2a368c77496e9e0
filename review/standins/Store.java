import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;

/** The platform's store: rows in tables, transactions, ranges and a feed. Thread-safe. */
final class Store {
    private static final int MAX_ROWS = 500;

    private final ObjectMapper mJson = new ObjectMapper();
    private final Map<String, NavigableMap<String, ObjectNode>> mTables = new HashMap<>();
    private final long mStart = System.nanoTime();
    private final Server mServer = new Server(this::handle);
    private long mVersion = 1;

    String address() {
        return mServer.address();
    }

    /** Writes a row as the operator or a worker does. */
    synchronized long put(String table, String key, String value) {
        mVersion++;
        ObjectNode row = mJson.createObjectNode().put("table", table).put("part", "");
        row.put("key", key).put("value", value.getBytes(StandardCharsets.UTF_8));
        row.put("ver", mVersion);
        table(table).put(key, row);
        notifyAll();
        return mVersion;
    }

    synchronized void remove(String table, String key) {
        mVersion++;
        ObjectNode row = mJson.createObjectNode().put("table", table).put("part", "");
        table(table).put(key, row.put("key", key).put("ver", mVersion).put("deleted", true));
        notifyAll();
    }

    private NavigableMap<String, ObjectNode> table(String name) {
        return mTables.computeIfAbsent(name, k -> new TreeMap<>());
    }

    private void handle(Http.Message request, OutputStream out, Socket socket)
            throws IOException, InterruptedException {
        Thread.sleep(4);
        Reply reply = respond(request);
        byte[] body = reply.body().toString().getBytes(StandardCharsets.UTF_8);
        out.write(
                Http.response(reply.status(), Map.of("Content-Type", "application/json"), body));
    }

    private record Reply(int status, ObjectNode body) {}

    private Reply respond(Http.Message request) throws IOException, InterruptedException {
        Map<String, String> query = query(request.target());
        String path = request.path();
        if (path.equals(Wire.name("call-range"))) {
            return get(query);
        }
        if (path.equals(Wire.name("call-feed"))) {
            return feed(query);
        }
        if (path.equals(Wire.name("call-transact"))) {
            return transact(mJson.readTree(request.body()));
        }
        return new Reply(404, mJson.createObjectNode());
    }

    private synchronized Reply get(Map<String, String> query) {
        NavigableMap<String, ObjectNode> rows =
                table(query.get("table")).tailMap(query.getOrDefault("from", ""), true);
        if (query.containsKey("to")) {
            rows = rows.headMap(query.get("to"), false);
        }
        int limit = Integer.parseInt(query.getOrDefault("limit", "" + MAX_ROWS));
        ObjectNode body = body();
        ArrayNode listed = body.putArray("rows");
        rows.values().stream().filter(r -> !r.has("deleted")).limit(limit).forEach(listed::add);
        return new Reply(200, body.put("has-more", false));
    }

    private synchronized Reply feed(Map<String, String> query) throws InterruptedException {
        long after = Long.parseLong(query.get("after"));
        long end = System.nanoTime() + Long.parseLong(query.get("wait-ms")) * 1_000_000;
        while (true) {
            ObjectNode body = body();
            ArrayNode rows = body.putArray("rows");
            table(query.get("table")).values().stream()
                    .filter(r -> r.path("ver").asLong() > after)
                    .sorted((a, b) -> Long.compare(a.path("ver").asLong(), b.path("ver").asLong()))
                    .forEach(rows::add);
            long left = (end - System.nanoTime()) / 1_000_000;
            if (!rows.isEmpty() || left <= 0) {
                return new Reply(200, body);
            }
            wait(left);
        }
    }

    private synchronized Reply transact(JsonNode transaction) {
        ObjectNode conflict = body();
        ArrayNode current = conflict.putArray("rows");
        boolean holds = true;
        for (JsonNode expected : transaction.path("expected")) {
            ObjectNode row =
                    table(expected.path("table").asText()).get(expected.path("key").asText());
            boolean exists = row != null && !row.has("deleted");
            long version = exists ? row.path("ver").asLong() : 0;
            holds &= version == expected.path("ver").asLong();
            if (exists) {
                current.add(row);
            }
        }
        if (!holds) {
            return new Reply(412, conflict);
        }
        mVersion++;
        for (JsonNode put : transaction.path("puts")) {
            ObjectNode row = ((ObjectNode) put).deepCopy().put("ver", mVersion);
            table(row.path("table").asText()).put(row.path("key").asText(), row);
        }
        for (JsonNode gone : transaction.path("remove")) {
            ObjectNode row = ((ObjectNode) gone).deepCopy().put("ver", mVersion);
            table(row.path("table").asText()).put(row.path("key").asText(), row.put("deleted", true));
        }
        notifyAll();
        return new Reply(200, body());
    }

    private ObjectNode body() {
        return mJson.createObjectNode()
                .put("ver", mVersion)
                .put("now-ms", (System.nanoTime() - mStart) / 1_000_000);
    }

    static Map<String, String> query(String target) {
        Map<String, String> query = new HashMap<>();
        int start = target.indexOf('?');
        for (String part : start < 0 ? new String[0] : target.substring(start + 1).split("&")) {
            int equals = part.indexOf('=');
            query.put(
                    part.substring(0, equals),
                    URLDecoder.decode(part.substring(equals + 1), StandardCharsets.UTF_8));
        }
        return query;
    }
}
