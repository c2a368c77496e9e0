import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.atomic.AtomicInteger;

/** What the cases share: a folder, a record, a configuration and an exit status. */
final class Case {
    static final int BROKEN = 1;
    static final int HELD = 0;
    static final int COULD_NOT_RUN = 2;

    static final String KEY = "key-1";
    static final String HOST = "desk.example";

    private static final AtomicInteger NEXT_ID = new AtomicInteger(1);

    private final PrintWriter mRecord;
    private final long mStart = System.nanoTime();
    final Path folder;
    final Store store;

    private Case(Path record) throws IOException {
        mRecord = new PrintWriter(Files.newBufferedWriter(record), true);
        folder = Files.createTempDirectory("review-2-");
        store = new Store();
    }

    static Case begin(String record) throws IOException {
        Case begun = new Case(Path.of(record));
        begun.record("trouble: " + isTroubled());
        return begun;
    }

    /** Returns whether the disruption takes place. */
    static boolean isTroubled() {
        return !"0".equals(System.getenv("TROUBLE"));
    }

    static String nextId() {
        return String.format("r%07d", NEXT_ID.getAndIncrement());
    }

    double seconds() {
        return (System.nanoTime() - mStart) / 1e9;
    }

    synchronized void record(String line) {
        mRecord.printf("%8.3f %s%n", seconds(), line);
    }

    /** Writes the verdict and ends the process, and with it all that it started. */
    void end(int status, String reason) {
        String verdict = status == BROKEN ? "BROKEN" : status == HELD ? "HELD" : "COULD NOT RUN";
        record(verdict + ": " + reason);
        System.out.println(verdict + ": " + reason);
        System.exit(status);
    }

    /** Writes a configuration with the given routes, two services and one tenant. */
    void putConfig(int version, String routes) {
        putConfig(
                version,
                routes,
                "{\"name\":\"tenant-1\",\"api-keys\":[\"" + KEY + "\"],\"isolated\":false}");
    }

    /** Writes a configuration with the given routes and tenants and two services. */
    void putConfig(int version, String routes, String tenants) {
        store.put(
                "op",
                "config",
                "{\"version\":"
                        + version
                        + ",\"routes\":["
                        + routes
                        + "],\"services\":["
                        + "{\"name\":\"desk\",\"health-path\":\"/healthz\",\"max-conns\":96,\"protocol\":\"h1\",\"tls\":false},"
                        + "{\"name\":\"llm\",\"health-path\":\"/healthz\",\"max-conns\":360,\"protocol\":\"h1\",\"tls\":false,"
                        + "\"engine\":{\"slots\":64,\"kv-capacity\":106752,\"kv-token-bytes\":163840,\"link-mbps\":180000.0,"
                        + "\"moves\":true,\"backups\":true,\"stride\":4,\"max-inflight\":12,\"pin-ms\":4000.0,\"hold-ms\":2000.0,"
                        + "\"handle_s\":5.0,\"models\":[{\"name\":\"m0\"}]}}],"
                        + "\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000},"
                        + "\"tenants\":[" + tenants + "]}");
    }

    /** Returns the JSON of a route; {@code more} adds fields. */
    static String route(
            String name,
            String prefix,
            String kind,
            String service,
            int timeoutMillis,
            int goalMillis,
            int attempts,
            String more) {
        return "{\"name\":\""
                + name
                + "\",\"host\":\""
                + HOST
                + "\",\"prefix\":\""
                + prefix
                + "\",\"kind\":\""
                + kind
                + "\",\"timeout-ms\":"
                + timeoutMillis
                + ",\"goal-ms\":"
                + goalMillis
                + ",\"priority\":0,\"service\":\""
                + service
                + "\",\"attempts\":"
                + attempts
                + ",\"public\":false"
                + more
                + "}";
    }

    /** Returns the head of a request with a body of known length. */
    static String head(
            String method, String path, String id, int deadlineMillis, int length, String more) {
        return head(method, path, id, deadlineMillis, length, more, KEY);
    }

    static String head(
            String method,
            String path,
            String id,
            int deadlineMillis,
            int length,
            String more,
            String key) {
        return method
                + " "
                + path
                + " HTTP/1.1\r\nHost: "
                + HOST
                + "\r\n"
                + Names.of("request-id")
                + ": "
                + id
                + "\r\n"
                + Names.of("deadline")
                + ": "
                + deadlineMillis
                + "\r\nAuthorization: Bearer "
                + key
                + "\r\n"
                + more
                + (length > 0 ? "Content-Length: " + length + "\r\n" : "")
                + "\r\n";
    }
}
