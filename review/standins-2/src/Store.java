import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** A small stand-in for the platform's table store. */
final class Store {
    private static final ObjectMapper JSON = new ObjectMapper();

    /** A row; {@code value} is null once the row was removed. */
    private record Row(String key, String value, long version) {}

    private final Map<String, TreeMap<String, Row>> mTables = new HashMap<>();
    private long mVersion;
    private final ServerSocket mListener;

    /** While true, all calls are refused with 503. */
    volatile boolean busy;

    Store() throws IOException {
        mListener = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
        daemon(this::accept);
    }

    static void daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    String address() {
        return "127.0.0.1:" + mListener.getLocalPort();
    }

    synchronized void put(String table, String key, String json) {
        mVersion++;
        String value = Base64.getEncoder().encodeToString(json.getBytes(StandardCharsets.UTF_8));
        rows(table).put(key, new Row(key, value, mVersion));
        notifyAll();
    }

    synchronized void remove(String table, String key) {
        mVersion++;
        rows(table).put(key, new Row(key, null, mVersion));
        notifyAll();
    }

    private TreeMap<String, Row> rows(String table) {
        return mTables.computeIfAbsent(table, t -> new TreeMap<>());
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = mListener.accept();
                socket.setTcpNoDelay(true);
                daemon(() -> serve(socket));
            }
        } catch (IOException e) {
            // The process ends.
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            while (true) {
                Http.Message request = Http.read(socket.getInputStream());
                answer(request, socket);
            }
        } catch (IOException | InterruptedException e) {
            // The caller has left.
        }
    }

    private void answer(Http.Message request, Socket socket)
            throws IOException, InterruptedException {
        if (busy) {
            reply(socket, "503 Service Unavailable", JSON.createObjectNode());
            return;
        }
        String target = request.target();
        int query = target.indexOf('?');
        String path = query < 0 ? target : target.substring(0, query);
        Map<String, String> params = params(query < 0 ? "" : target.substring(query + 1));
        if (path.equals(Names.of("rows-get"))) {
            reply(socket, "200 OK", get(params));
        } else if (path.equals(Names.of("rows-feed"))) {
            reply(socket, "200 OK", feed(params));
        } else if (path.equals(Names.of("transaction"))) {
            transact(JSON.readTree(request.body), socket);
        } else {
            reply(socket, "404 Not Found", JSON.createObjectNode());
        }
    }

    private static Map<String, String> params(String query) {
        Map<String, String> params = new HashMap<>();
        for (String pair : query.split("&")) {
            int equals = pair.indexOf('=');
            if (equals > 0) {
                params.put(
                        pair.substring(0, equals),
                        URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
            }
        }
        return params;
    }

    private static ObjectNode node(String table, Row row) {
        ObjectNode node =
                JSON.createObjectNode().put("table", table).put("part", "").put("key", row.key());
        if (row.value() == null) {
            node.put("deleted", true);
        } else {
            node.put("value", row.value());
        }
        return node.put("ver", row.version());
    }

    private ObjectNode withVersion(ObjectNode body) {
        return body.put("ver", mVersion).put("now-ms", System.nanoTime() / 1_000_000);
    }

    private synchronized ObjectNode get(Map<String, String> params) {
        String table = params.get("table");
        String from = params.getOrDefault("from", "");
        String to = params.get("to");
        int limit = Integer.parseInt(params.getOrDefault("limit", "500"));
        ObjectNode body = JSON.createObjectNode();
        ArrayNode rows = body.putArray("rows");
        boolean more = false;
        for (Row row : rows(table).tailMap(from, true).values()) {
            if (row.value() == null || (to != null && row.key().compareTo(to) >= 0)) {
                continue;
            }
            if (rows.size() >= limit) {
                more = true;
                break;
            }
            rows.add(node(table, row));
        }
        return withVersion(body.put("has-more", more));
    }

    private synchronized ObjectNode feed(Map<String, String> params) throws InterruptedException {
        String table = params.get("table");
        long after = Long.parseLong(params.get("after"));
        long end = System.nanoTime() + Long.parseLong(params.get("wait-ms")) * 1_000_000;
        while (true) {
            List<Row> changed = new ArrayList<>();
            rows(table).values().stream()
                    .filter(r -> r.version() > after)
                    .sorted((a, b) -> Long.compare(a.version(), b.version()))
                    .forEach(changed::add);
            long left = (end - System.nanoTime()) / 1_000_000;
            if (!changed.isEmpty() || left <= 0) {
                ObjectNode body = JSON.createObjectNode();
                ArrayNode rows = body.putArray("rows");
                changed.forEach(r -> rows.add(node(table, r)));
                return withVersion(body);
            }
            wait(left);
        }
    }

    private void transact(JsonNode call, Socket socket) throws IOException {
        ObjectNode body = JSON.createObjectNode();
        String status = "200 OK";
        synchronized (this) {
            for (JsonNode expected : call.path("expected")) {
                Row row = rows(expected.get("table").asText()).get(expected.get("key").asText());
                long version = row == null || row.value() == null ? 0 : row.version();
                if (version != expected.get("ver").asLong()) {
                    status = "412 Precondition Failed";
                }
            }
            if (status.startsWith("200")) {
                apply(call);
            }
            body.putArray("rows");
            withVersion(body);
        }
        reply(socket, status, body);
    }

    private void apply(JsonNode call) {
        mVersion++;
        for (JsonNode put : call.path("puts")) {
            String key = put.get("key").asText();
            rows(put.get("table").asText())
                    .put(key, new Row(key, put.get("value").asText(), mVersion));
        }
        for (JsonNode removed : call.path("remove")) {
            String key = removed.get("key").asText();
            rows(removed.get("table").asText()).put(key, new Row(key, null, mVersion));
        }
        notifyAll();
    }

    private static void reply(Socket socket, String status, ObjectNode body) throws IOException {
        byte[] bytes = body.toString().getBytes(StandardCharsets.UTF_8);
        Http.write(
                socket.getOutputStream(),
                "HTTP/1.1 "
                        + status
                        + "\r\nContent-Type: application/json\r\n"
                        + Names.of("store-era")
                        + ": 0\r\nContent-Length: "
                        + bytes.length
                        + "\r\n\r\n",
                bytes);
    }
}
