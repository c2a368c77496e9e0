import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A few clients send bodies in small chunks, within the limits of the configuration, beside other
 * clients that send short requests on kept connections.
 *
 * <p>Checked are the short requests only: those still unanswered at the timeout of their route.
 * Without trouble the same bodies are sent at the same pace with a length.
 */
public final class SmallChunks {
    private static final int UPLOADS = 4;
    private static final int BODY_BYTES = 4_000_000;
    private static final int CHUNK_BYTES = 8;
    private static final int CHUNKS_PER_PIECE = 2_500;
    private static final int PIECE_MILLIS = 20;
    private static final int SHORT_CLIENTS = 12;
    private static final int TIMEOUT_MILLIS = 2_000;
    private static final int SLACK_MILLIS = 500;
    private static final int UPLOAD_TIMEOUT_MILLIS = 15_000;
    private static final long SHORT_CLIENTS_NANOS = 25_000_000_000L;

    private final Case mRun;
    private final GatewayProcess mGateway;
    private final Map<String, String> mRanAt = new ConcurrentHashMap<>();
    private final AtomicInteger mAnswered = new AtomicInteger();
    private final AtomicInteger mLate = new AtomicInteger();
    private final AtomicInteger mUnanswered = new AtomicInteger();
    private final AtomicInteger mUnansweredRun = new AtomicInteger();
    private final AtomicInteger mUploadsServed = new AtomicInteger();

    private SmallChunks(Case run) throws Exception {
        mRun = run;
        for (int i = 0; i < 3; i++) {
            new Worker("w-" + i, "desk", "", this::work).register(run.store, "ready");
        }
        run.putConfig(
                1,
                Case.route("file", "/file/", "unsafe", "desk", TIMEOUT_MILLIS, 400, 1, "")
                        + ","
                        + Case.route(
                                "upload", "/upload/", "unsafe", "desk", UPLOAD_TIMEOUT_MILLIS, 4_000, 1, ""));
        mGateway = new GatewayProcess("edge-1", run.folder, run.store);
        mGateway.start();
        mGateway.awaitReady();
    }

    private void work(Worker worker, Http.Message request, java.net.Socket socket, java.io.OutputStream out)
            throws IOException, InterruptedException {
        String id = request.header(Names.of("request-id"));
        mRanAt.put(id, worker.id());
        mRun.record("run " + id + " at " + worker.id() + ", body of " + request.body.length);
        Thread.sleep(100);
        worker.answer(request, out, "200 OK", "", new byte[800]);
    }

    public static void main(String[] args) throws Exception {
        Case run = Case.begin(args[0]);
        try {
            new SmallChunks(run).play();
        } catch (Exception e) {
            run.end(Case.COULD_NOT_RUN, e.toString());
        }
    }

    private void play() throws Exception {
        Thread.sleep(4_000); // From here on the machine is in touch.
        long end = System.nanoTime() + SHORT_CLIENTS_NANOS;
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < SHORT_CLIENTS; i++) {
            threads.add(start(() -> sendShortRequests(end)));
        }
        Thread.sleep(3_000);
        for (int i = 0; i < UPLOADS; i++) {
            threads.add(start(this::upload));
        }
        for (Thread thread : threads) {
            thread.join();
        }
        judge();
    }

    private static Thread start(Runnable task) {
        Thread thread = new Thread(task);
        thread.start();
        return thread;
    }

    private void judge() {
        int late = mLate.get();
        int unanswered = mUnanswered.get();
        String counts =
                "short requests answered "
                        + mAnswered
                        + "; unanswered at the timeout of their route "
                        + late
                        + ", of these half a second later "
                        + unanswered
                        + ", of these run by a worker "
                        + mUnansweredRun
                        + "; uploads served "
                        + mUploadsServed
                        + "; gateway alive "
                        + mGateway.isAlive();
        boolean broken = unanswered >= 4 && 2 * unanswered > late;
        mRun.end(broken ? Case.BROKEN : Case.HELD, counts);
    }

    private void sendShortRequests(long end) {
        Client client = null;
        while (System.nanoTime() < end) {
            String id = Case.nextId();
            long sentAt = 0;
            try {
                if (client == null) {
                    client = new Client(mGateway.front(), TIMEOUT_MILLIS + SLACK_MILLIS);
                }
                mRun.record("send " + id);
                sentAt = System.nanoTime();
                client.send(
                        Case.head("POST", "/file/x", id, TIMEOUT_MILLIS, 800, ""), new byte[800]);
                Http.Message answer = client.receive();
                mAnswered.incrementAndGet();
                long millis = (System.nanoTime() - sentAt) / 1_000_000;
                if (millis > TIMEOUT_MILLIS) {
                    mLate.incrementAndGet();
                }
                mRun.record("answer " + id + " " + answer.status() + " after " + millis + " ms");
                Thread.sleep(100);
            } catch (IOException e) {
                recordFailure(id, sentAt, e);
                client = closed(client);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private static Client closed(Client client) {
        try {
            if (client != null) {
                client.close();
            }
        } catch (IOException e) {
            // It is closed.
        }
        return null;
    }

    private void recordFailure(String id, long sentAt, IOException reason) {
        boolean isTimeout = reason instanceof java.net.SocketTimeoutException && sentAt != 0;
        if (isTimeout) {
            mLate.incrementAndGet();
            mUnanswered.incrementAndGet();
            if (mRanAt.containsKey(id)) {
                mUnansweredRun.incrementAndGet();
            }
        }
        mRun.record(
                (isTimeout ? "no answer " : "closed ")
                        + id
                        + ", run at "
                        + mRanAt.getOrDefault(id, "no worker")
                        + ": "
                        + reason);
    }

    /** Sends a body in small chunks, or with a length if there is no trouble. */
    private void upload() {
        String id = Case.nextId();
        mRun.record("upload " + id);
        byte[] piece = Case.isTroubled() ? chunks() : new byte[CHUNKS_PER_PIECE * CHUNK_BYTES];
        try (Client client = new Client(mGateway.front(), UPLOAD_TIMEOUT_MILLIS)) {
            int length = Case.isTroubled() ? 0 : BODY_BYTES;
            String chunked = Case.isTroubled() ? "Transfer-Encoding: chunked\r\n" : "";
            client.send(
                    Case.head("POST", "/upload/x", id, UPLOAD_TIMEOUT_MILLIS, length, chunked),
                    new byte[0]);
            for (int sent = 0; sent < BODY_BYTES; sent += CHUNKS_PER_PIECE * CHUNK_BYTES) {
                client.send("", piece);
                Thread.sleep(PIECE_MILLIS);
            }
            client.send(Case.isTroubled() ? "0\r\n\r\n" : "", new byte[0]);
            int status = client.receive().status();
            mRun.record("answer to upload " + id + " " + status);
            if (status == 200) {
                mUploadsServed.incrementAndGet();
            }
        } catch (IOException | InterruptedException e) {
            mRun.record("no answer to upload " + id + ": " + e);
        }
    }

    private static byte[] chunks() {
        String chunk =
                Integer.toHexString(CHUNK_BYTES) + "\r\n" + "x".repeat(CHUNK_BYTES) + "\r\n";
        return chunk.repeat(CHUNKS_PER_PIECE).getBytes(StandardCharsets.US_ASCII);
    }
}
