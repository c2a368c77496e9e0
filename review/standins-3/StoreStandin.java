import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;

/** The platform's store: rows under versions of one counter, reads, feeds and transactions. */
final class StoreStandin {
    private static final int MAX_ROWS = 500;

    private final ObjectMapper mJson = new ObjectMapper();
    private final HttpServer mServer;
    private final TreeMap<String, Row> mRows = new TreeMap<>();
    private long mVersion;

    private record Row(String table, String part, String key, String value, long version) {
        boolean isDeleted() {
            return value == null;
        }
    }

    StoreStandin() throws IOException {
        mServer =
                HttpServer.create(
                        new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 256);
        mServer.setExecutor(
                Executors.newCachedThreadPool(
                        r -> {
                            Thread t = new Thread(r);
                            t.setDaemon(true);
                            return t;
                        }));
        mServer.createContext("/", this::handle);
        mServer.start();
    }

    String address() {
        return "127.0.0.1:" + mServer.getAddress().getPort();
    }

    /** Writes a row as the operator or a worker does. */
    synchronized void put(String table, String key, String json) {
        mVersion++;
        String value =
                java.util.Base64.getEncoder()
                        .encodeToString(json.getBytes(StandardCharsets.UTF_8));
        mRows.put(id(table, "", key), new Row(table, "", key, value, mVersion));
        notifyAll();
    }

    /** Deletes a row as the platform does with the entry of a worker that is silent. */
    synchronized void delete(String table, String key) {
        mVersion++;
        mRows.put(id(table, "", key), new Row(table, "", key, null, mVersion));
        notifyAll();
    }

    private static String id(String table, String part, String key) {
        return table + '\0' + part + '\0' + key;
    }

    private void handle(HttpExchange exchange) throws IOException {
        try {
            byte[] request = exchange.getRequestBody().readAllBytes();
            Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
            String path = exchange.getRequestURI().getPath();
            if (path.equals(Names.of("transaction"))) {
                transact(exchange, mJson.readTree(request));
            } else if (path.equals(Names.of("rows-get"))) {
                reply(exchange, 200, read(query));
            } else if (path.equals(Names.of("rows-feed"))) {
                reply(exchange, 200, feed(query));
            } else {
                reply(exchange, 404, mJson.createObjectNode());
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            exchange.close();
        }
    }

    private static Map<String, String> query(String text) {
        Map<String, String> query = new HashMap<>();
        if (text != null) {
            for (String pair : text.split("&")) {
                int at = pair.indexOf('=');
                query.put(
                        pair.substring(0, at),
                        URLDecoder.decode(pair.substring(at + 1), StandardCharsets.UTF_8));
            }
        }
        return query;
    }

    private void reply(HttpExchange exchange, int status, JsonNode body) throws IOException {
        byte[] bytes = mJson.writeValueAsBytes(body);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(status, bytes.length);
        exchange.getResponseBody().write(bytes);
    }

    private ObjectNode answer() {
        return mJson.createObjectNode()
                .put("ver", mVersion)
                .put("now-ms", System.nanoTime() / 1_000_000);
    }

    private ObjectNode describe(Row row) {
        ObjectNode node =
                mJson.createObjectNode()
                        .put("table", row.table())
                        .put("part", row.part())
                        .put("key", row.key())
                        .put("ver", row.version());
        return row.isDeleted() ? node.put("deleted", true) : node.put("value", row.value());
    }

    private synchronized ObjectNode read(Map<String, String> query) {
        ObjectNode answer = answer();
        ArrayNode rows = answer.putArray("rows");
        String from = query.getOrDefault("from", "");
        String to = query.get("to");
        int limit = Math.min(MAX_ROWS, Integer.parseInt(query.getOrDefault("limit", "500")));
        boolean hasMore = false;
        for (Row row : mRows.values()) {
            boolean matches =
                    !row.isDeleted()
                            && row.table().equals(query.get("table"))
                            && row.part().equals(query.getOrDefault("part", ""))
                            && row.key().compareTo(from) >= 0
                            && (to == null || row.key().compareTo(to) < 0);
            if (matches && rows.size() == limit) {
                hasMore = true;
            } else if (matches) {
                rows.add(describe(row));
            }
        }
        return answer.put("has-more", hasMore);
    }

    private synchronized ObjectNode feed(Map<String, String> query) throws InterruptedException {
        long after = Long.parseLong(query.get("after"));
        long end = System.nanoTime() + 1_000_000 * Long.parseLong(query.get("wait-ms"));
        while (true) {
            ObjectNode answer = answer();
            ArrayNode rows = answer.putArray("rows");
            mRows.values().stream()
                    .filter(r -> r.table().equals(query.get("table")) && r.version() > after)
                    .sorted((a, b) -> Long.compare(a.version(), b.version()))
                    .forEach(r -> rows.add(describe(r)));
            long leftMillis = (end - System.nanoTime()) / 1_000_000;
            if (!rows.isEmpty() || leftMillis <= 0) {
                return answer;
            }
            wait(leftMillis);
        }
    }

    private void transact(HttpExchange exchange, JsonNode call) throws IOException {
        ObjectNode answer;
        boolean holds = true;
        synchronized (this) {
            for (JsonNode expected : call.path("expected")) {
                Row row = mRows.get(id(expected));
                long version = row == null || row.isDeleted() ? 0 : row.version();
                holds &= version == expected.path("ver").asLong();
            }
            if (holds) {
                mVersion++;
                call.path("puts").forEach(p -> store(p, p.path("value").asText()));
                call.path("remove").forEach(r -> store(r, null));
                notifyAll();
            }
            answer = answer();
            if (!holds) {
                ArrayNode rows = answer.putArray("rows");
                for (JsonNode expected : call.path("expected")) {
                    Row row = mRows.get(id(expected));
                    if (row != null && !row.isDeleted()) {
                        rows.add(describe(row));
                    }
                }
            }
        }
        reply(exchange, holds ? 200 : 412, answer);
    }

    private void store(JsonNode at, String value) {
        mRows.put(
                id(at),
                new Row(
                        at.path("table").asText(),
                        at.path("part").asText(),
                        at.path("key").asText(),
                        value,
                        mVersion));
    }

    private static String id(JsonNode row) {
        return id(row.path("table").asText(), row.path("part").asText(), row.path("key").asText());
    }
}
