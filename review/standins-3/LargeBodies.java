import java.io.IOException;
import java.io.OutputStream;
import java.net.SocketTimeoutException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * Some clients send bodies within the limit of the desired state, at one machine, while
 * others send small requests there. Exits with 10 if the small ones stay without an answer.
 */
final class LargeBodies {
    /** The exit status if the rule was broken; 1 is that of a JVM that could not run. */
    private static final int BROKEN = 10;

    private static final int SMALL_CLIENTS = 10;
    private static final long SMALL_PAUSE_MILLIS = 700;
    private static final int UPLOADS = 40;
    private static final int LARGE_BODY_BYTES = 4_000_000;
    private static final int SMALL_BODY_BYTES = 600;

    /** Bytes that an upload sends in {@link #PIECE_MILLIS}: 1 MB a second. */
    private static final int PIECE_BYTES = 20_000;

    private static final long PIECE_MILLIS = 20;

    /** Time between the starts of two uploads. */
    private static final long UPLOAD_GAP_MILLIS = 5;

    private static final long CALM_MILLIS = 5_000;
    private static final long RUN_MILLIS = 22_000;

    /** The {@code timeout-ms} of the route of the small requests. */
    private static final long ROUTE_TIMEOUT_MILLIS = 1_000;

    /** Time after the route's timeout in which the rule wants an answer. */
    private static final long SLACK_MILLIS = 500;

    /** The rule is broken by this many requests without an answer, if they are over a quarter. */
    private static final int MIN_SILENT = 8;

    private static final int CLIENT_PATIENCE_MILLIS = 6_000;
    private static final int UPLOAD_PATIENCE_MILLIS = 15_000;

    private static final String CONFIG =
            "{\"version\":7,\"routes\":["
                + "{\"name\":\"r1\",\"host\":\"a.example\",\"prefix\":\"/file/\","
                + "\"kind\":\"unsafe\",\"timeout-ms\":1000,\"goal-ms\":150,\"priority\":2,"
                + "\"service\":\"desk\",\"attempts\":1,\"public\":false},"
                + "{\"name\":\"r2\",\"host\":\"a.example\",\"prefix\":\"/look/\","
                + "\"kind\":\"safe\",\"timeout-ms\":15000,\"goal-ms\":150,\"priority\":2,"
                + "\"service\":\"desk\",\"attempts\":2,\"public\":false}],"
                + "\"services\":[{\"name\":\"desk\",\"health-path\":\"/healthz\","
                + "\"max-conns\":96,\"protocol\":\"h1\",\"tls\":false}],"
                + "\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,"
                + "\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000},"
                + "\"tenants\":[{\"name\":\"t1\",\"api-keys\":[\"key-1\"],\"priority\":1,"
                + "\"isolated\":false}]}";

    /** How a small request ended. */
    private record End(long tookMillis, boolean isAnswered, boolean ran) {}

    private final Record mRecord;
    private final GatewayProcess mGateway;
    private final Map<String, Integer> mRuns = new ConcurrentHashMap<>();
    private final ConcurrentLinkedQueue<End> mSmall = new ConcurrentLinkedQueue<>();
    private final long mStart = System.nanoTime();

    private LargeBodies(Record record, Path folder) throws IOException {
        mRecord = record;
        StoreStandin store = new StoreStandin();
        store.put("op", "config", CONFIG);
        for (int i = 1; i <= 3; i++) {
            new WorkerStandin(store, "i-" + i, "desk", "", this::run);
        }
        mGateway =
                new GatewayProcess(folder, "edge-ne-a-1", "127.0.0.11", store.address(), 280);
    }

    private void run(WorkerStandin worker, Message request, OutputStream out)
            throws IOException, InterruptedException {
        String id = request.field(Names.of("request-id"));
        mRuns.merge(id, 1, Integer::sum);
        mRecord.line(worker.id() + " runs " + id + " body " + request.body().length);
        Thread.sleep(43);
        WorkerStandin.answer(request, out, 200, "", "done " + id);
    }

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int status = 2;
        try (Record record = new Record(Path.of(args[0]))) {
            LargeBodies run = new LargeBodies(record, Path.of(args[1]));
            try {
                status = run.play(trouble ? LARGE_BODY_BYTES : SMALL_BODY_BYTES) ? 0 : BROKEN;
            } catch (IOException e) {
                record.line("could not run: " + e);
            } finally {
                run.mGateway.end();
            }
            record.line("exit " + status);
        }
        System.exit(status);
    }

    /** Returns whether the rule held. */
    private boolean play(int uploadBytes) throws IOException, InterruptedException {
        mGateway.start();
        mGateway.awaitReady();
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < SMALL_CLIENTS; i++) {
            int client = i;
            threads.add(new Thread(() -> sendSmall(client)));
        }
        threads.forEach(Thread::start);
        Thread.sleep(CALM_MILLIS);
        for (int i = 0; i < UPLOADS; i++) {
            int client = i;
            Thread upload = new Thread(() -> upload(client, uploadBytes));
            threads.add(upload);
            upload.start();
            Thread.sleep(UPLOAD_GAP_MILLIS);
        }
        for (Thread thread : threads) {
            thread.join();
        }
        mRecord.line("gateway alive " + mGateway.isAlive());
        return judge();
    }

    private boolean judge() {
        long answered = mSmall.stream().filter(End::isAnswered).count();
        long overdue =
                mSmall.stream().filter(e -> e.tookMillis() >= ROUTE_TIMEOUT_MILLIS).count();
        long silent =
                mSmall.stream()
                        .filter(e -> e.tookMillis() >= ROUTE_TIMEOUT_MILLIS + SLACK_MILLIS)
                        .count();
        long silentRan =
                mSmall.stream()
                        .filter(e -> e.tookMillis() >= ROUTE_TIMEOUT_MILLIS + SLACK_MILLIS)
                        .filter(End::ran)
                        .count();
        mRecord.line(
                "small requests " + mSmall.size() + ", answered " + answered
                        + ", unanswered at the route's timeout " + overdue
                        + ", half a second later " + silent + ", of these run " + silentRan);
        return silent < MIN_SILENT || 4 * silent <= overdue;
    }

    private boolean isOver() {
        return System.nanoTime() - mStart > RUN_MILLIS * 1_000_000;
    }

    private void sendSmall(int client) {
        int number = 0;
        while (!isOver()) {
            try (ClientConnection connection =
                    new ClientConnection(mGateway, CLIENT_PATIENCE_MILLIS)) {
                boolean isKept = true;
                while (isKept && !isOver()) {
                    isKept = sendSmall(connection, "small-" + client + "-" + number++);
                    Thread.sleep(SMALL_PAUSE_MILLIS);
                }
            } catch (IOException e) {
                mRecord.line("client " + client + " cannot connect: " + e);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    /** Sends a request and returns whether the connection can be used again. */
    private boolean sendSmall(ClientConnection connection, String id) {
        long sentAt = mRecord.now();
        String end;
        boolean isKept = false;
        try {
            connection.write(
                    ClientConnection.head("POST", "a.example", "/file/x", id, 6_000)
                            + "Content-Length: " + SMALL_BODY_BYTES + "\r\n\r\n"
                            + "x".repeat(SMALL_BODY_BYTES));
            Message answer = connection.read();
            isKept = answer != null && !"close".equals(answer.field("Connection"));
            end = answer == null ? "closed" : "answered " + answer.status();
        } catch (SocketTimeoutException e) {
            end = "no answer";
        } catch (IOException e) {
            end = "broken: " + e.getMessage();
        }
        long took = mRecord.now() - sentAt;
        boolean ran = mRuns.containsKey(id);
        mSmall.add(new End(took, end.startsWith("answered"), ran));
        mRecord.line(id + " sent at " + sentAt + ", " + end + " after " + took + ", ran " + ran);
        return isKept;
    }

    private void upload(int client, int bytes) {
        String id = "upload-" + client;
        String end;
        long sentAt = mRecord.now();
        try (ClientConnection connection =
                new ClientConnection(mGateway, UPLOAD_PATIENCE_MILLIS)) {
            connection.write(
                    ClientConnection.head("POST", "a.example", "/look/x", id, 15_000)
                            + "Content-Length: " + bytes + "\r\n\r\n");
            byte[] piece = new byte[PIECE_BYTES];
            for (int left = bytes; left > 0; left -= PIECE_BYTES) {
                connection.out().write(piece, 0, Math.min(left, PIECE_BYTES));
                Thread.sleep(PIECE_MILLIS);
            }
            Message answer = connection.read();
            end = answer == null ? "closed" : "answered " + answer.status();
        } catch (SocketTimeoutException e) {
            end = "no answer";
        } catch (IOException e) {
            end = "broken: " + e.getMessage();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            end = "interrupted";
        }
        mRecord.line(
                id + " of " + bytes + " bytes sent at " + sentAt + ", " + end + " at "
                        + mRecord.now() + ", ran " + mRuns.containsKey(id));
    }
}
