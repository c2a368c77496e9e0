import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Many clients send long bodies at the same time, within the limits of the configuration, beside
 * other clients that send short requests on kept connections.
 *
 * <p>Checked are the short requests only: those still unanswered at the timeout of their route.
 */
public final class LongBodies {
    private static final int UPLOADS = 64;
    private static final int UPLOADS_AT_ONCE_UNTROUBLED = 6;
    private static final int LONG_BODY_BYTES = 4_000_000;
    private static final int PIECE_BYTES = 80_000;
    private static final int PIECE_MILLIS = 100;
    private static final int SHORT_CLIENTS = 12;
    private static final int TIMEOUT_MILLIS = 2_000;
    private static final int SLACK_MILLIS = 500;
    private static final int UPLOAD_TIMEOUT_MILLIS = 15_000;
    private static final long SHORT_CLIENTS_NANOS = 30_000_000_000L;

    private final Case mRun;
    private final GatewayProcess mGateway;
    private final Map<String, String> mRanAt = new ConcurrentHashMap<>();
    private final AtomicInteger mAnswered = new AtomicInteger();
    private final AtomicInteger mLate = new AtomicInteger();
    private final AtomicInteger mUnanswered = new AtomicInteger();
    private final AtomicInteger mUnansweredRun = new AtomicInteger();
    private final AtomicInteger mUploadsServed = new AtomicInteger();

    private LongBodies(Case run) throws Exception {
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
            new LongBodies(run).play();
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
        Semaphore atOnce =
                new Semaphore(Case.isTroubled() ? UPLOADS : UPLOADS_AT_ONCE_UNTROUBLED);
        for (int i = 0; i < UPLOADS && System.nanoTime() < end; i++) {
            atOnce.acquire();
            threads.add(start(() -> upload(atOnce)));
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

    /** Sends a long body at 6.4 Mbit/s, so that all together stay below the link's 1,000. */
    private void upload(Semaphore atOnce) {
        String id = Case.nextId();
        mRun.record("upload " + id);
        try (Client client = new Client(mGateway.front(), UPLOAD_TIMEOUT_MILLIS)) {
            client.send(
                    Case.head("POST", "/upload/x", id, UPLOAD_TIMEOUT_MILLIS, LONG_BODY_BYTES, ""),
                    new byte[0]);
            for (int sent = 0; sent < LONG_BODY_BYTES; sent += PIECE_BYTES) {
                client.send("", new byte[PIECE_BYTES]);
                Thread.sleep(PIECE_MILLIS);
            }
            int status = client.receive().status();
            mRun.record("answer to upload " + id + " " + status);
            if (status == 200) {
                mUploadsServed.incrementAndGet();
            }
        } catch (IOException | InterruptedException e) {
            mRun.record("no answer to upload " + id + ": " + e);
        } finally {
            atOnce.release();
        }
    }
}
