import java.io.IOException;
import java.io.OutputStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A version takes a key away and adds a tenant whose name has a blank. Exits with 10 if requests
 * are handled as only the version before allows, later than the pages' bound.
 */
final class OddTenant {
    /** The exit status if the rule was broken; 1 is that of a JVM that could not run. */
    private static final int BROKEN = 10;

    private static final String NAME_WITH_BLANK = "night desk";
    private static final String PLAIN_NAME = "night-desk";
    private static final String KEPT_KEY = "key-1";
    private static final String REMOVED_KEY = "key-2";
    private static final String ADDED_KEY = "key-3";
    private static final long REQUEST_GAP_MILLIS = 50;
    private static final long CALM_MILLIS = 2_000;
    private static final long RUN_MILLIS = 12_000;

    /** The bound {@code converge-ms}, and a tenth of a second more. */
    private static final long BOUND_MILLIS = 2_100;

    private static final String TENANTS =
            "\"tenants\":[{\"name\":\"t1\",\"api-keys\":[\"key-1\",\"key-2\"],\"priority\":1,"
                    + "\"isolated\":false}]";

    private static final String CONFIG =
            "{\"version\":7,\"routes\":["
                + "{\"name\":\"r1\",\"host\":\"a.example\",\"prefix\":\"/file/\","
                + "\"kind\":\"unsafe\",\"timeout-ms\":1000,\"goal-ms\":150,\"priority\":2,"
                + "\"service\":\"desk\",\"attempts\":1,\"public\":false}],"
                + "\"services\":[{\"name\":\"desk\",\"health-path\":\"/healthz\","
                + "\"max-conns\":96,\"protocol\":\"h1\",\"tls\":false}],"
                + "\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,"
                + "\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000},"
                + TENANTS + "}";

    /** A request and its answer. */
    private record Answer(String id, String key, long sentAt, int status) {}

    private final Record mRecord;
    private final StoreStandin mStore;
    private final GatewayProcess mGateway;
    private final Set<String> mRan = ConcurrentHashMap.newKeySet();
    private final Map<String, Answer> mAnswers = new ConcurrentHashMap<>();

    private OddTenant(Record record, Path folder) throws IOException {
        mRecord = record;
        mStore = new StoreStandin();
        mStore.put("op", "config", CONFIG);
        for (int i = 1; i <= 3; i++) {
            new WorkerStandin(mStore, "i-" + i, "desk", "", this::run);
        }
        mGateway = new GatewayProcess(folder, "edge-ne-a-1", "127.0.0.11", mStore.address(), 280);
    }

    private void run(WorkerStandin worker, Message request, OutputStream out)
            throws IOException, InterruptedException {
        String id = request.field(Names.of("request-id"));
        mRan.add(id);
        mRecord.line(worker.id() + " runs " + id);
        Thread.sleep(43);
        WorkerStandin.answer(request, out, 200, "", "done " + id);
    }

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int status = 2;
        try (Record record = new Record(Path.of(args[0]))) {
            OddTenant run = new OddTenant(record, Path.of(args[1]));
            try {
                status = run.play(trouble ? NAME_WITH_BLANK : PLAIN_NAME) ? 0 : BROKEN;
            } catch (IOException e) {
                record.line("could not run: " + e);
            } finally {
                run.mGateway.end();
            }
            record.line("exit " + status);
        }
        System.exit(status);
    }

    /** Returns the next version, without the removed key and with another tenant. */
    private static String nextVersion(String tenant) {
        String tenants =
                "\"tenants\":[{\"name\":\"t1\",\"api-keys\":[\"key-1\"],\"priority\":1,"
                        + "\"isolated\":false},{\"name\":\"" + tenant + "\","
                        + "\"api-keys\":[\"key-3\"],\"priority\":1,\"isolated\":false}]";
        return CONFIG.replace("\"version\":7", "\"version\":9").replace(TENANTS, tenants);
    }

    /** Returns whether the rule held. */
    private boolean play(String tenant) throws IOException, InterruptedException {
        mGateway.start();
        mGateway.awaitReady();
        Thread.sleep(1_000);
        List<Thread> threads = new ArrayList<>();
        for (String key : List.of(KEPT_KEY, REMOVED_KEY, ADDED_KEY)) {
            Thread thread = new Thread(() -> send(key, mRecord.now() + RUN_MILLIS));
            threads.add(thread);
            thread.start();
        }
        Thread.sleep(CALM_MILLIS);
        mStore.put("op", "config", nextVersion(tenant));
        long acknowledgedAt = mRecord.now();
        mRecord.line("version 9 with the tenant '" + tenant + "' is acknowledged");
        for (Thread thread : threads) {
            thread.join();
        }
        return judge(acknowledgedAt + BOUND_MILLIS);
    }

    private boolean judge(long from) {
        List<Answer> late = mAnswers.values().stream().filter(a -> a.sentAt() > from).toList();
        long removedRan =
                late.stream()
                        .filter(a -> a.key().equals(REMOVED_KEY) && mRan.contains(a.id()))
                        .count();
        long addedRefused =
                late.stream().filter(a -> a.key().equals(ADDED_KEY) && a.status() == 401).count();
        mRecord.line(
                "sent after " + from + ": " + late.size() + " requests, " + removedRan
                        + " run with the key that was taken away, " + addedRefused
                        + " refused with the key that was added");
        return removedRan == 0 && addedRefused == 0;
    }

    private void send(String key, long until) {
        int number = 0;
        while (mRecord.now() < until) {
            try (ClientConnection connection = new ClientConnection(mGateway, 2_000)) {
                while (mRecord.now() < until) {
                    send(connection, key, key + "-request-" + number++);
                    Thread.sleep(REQUEST_GAP_MILLIS);
                }
            } catch (IOException e) {
                mRecord.line("a connection ended: " + e);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    private void send(ClientConnection connection, String key, String id) throws IOException {
        long sentAt = mRecord.now();
        connection.write(
                ClientConnection.head("POST", "a.example", "/file/x", id, 1_000)
                                .replace("Bearer key-1", "Bearer " + key)
                        + "Content-Length: 0\r\n\r\n");
        Message answer = connection.read();
        if (answer == null) {
            throw new IOException("closed");
        }
        mAnswers.put(id, new Answer(id, key, sentAt, answer.status()));
        mRecord.line(id + " sent at " + sentAt + ", answered " + answer.status());
    }
}
