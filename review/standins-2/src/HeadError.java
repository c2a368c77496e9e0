import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients ask with HEAD and GET in turn on kept connections, and a new version of the configuration
 * removes the route of the HEAD requests.
 *
 * <p>Checked is that each client gets nothing but answers, each to the request that waits: an answer
 * to a HEAD request has no body, whatever its status and length.
 */
public final class HeadError {
    private static final int CLIENTS = 6;
    private static final int TIMEOUT_MILLIS = 2_000;
    private static final long LENGTH_NANOS = 10_000_000_000L;

    private final Case mRun;
    private final GatewayProcess mGateway;
    private final AtomicInteger mAnswered = new AtomicInteger();
    private final AtomicInteger mForeign = new AtomicInteger();

    private HeadError(Case run) throws Exception {
        mRun = run;
        for (int i = 0; i < 2; i++) {
            new Worker("w-" + i, "desk", "", this::work).register(run.store, "ready");
        }
        putConfig(1, true);
        mGateway = new GatewayProcess("edge-1", run.folder, run.store);
        mGateway.start();
        mGateway.awaitReady();
    }

    private void putConfig(int version, boolean withOldRoute) {
        String look = Case.route("look", "/look/", "safe", "desk", TIMEOUT_MILLIS, 400, 2, "");
        String old = Case.route("old", "/old/", "safe", "desk", TIMEOUT_MILLIS, 400, 2, "");
        mRun.putConfig(version, withOldRoute ? look + "," + old : look);
        mRun.record("version " + version + ", with the route of the HEAD requests: " + withOldRoute);
    }

    private void work(Worker worker, Http.Message request, Socket socket, OutputStream out)
            throws IOException, InterruptedException {
        mRun.record(
                "run " + request.header(Names.of("request-id")) + " at " + worker.id() + ", "
                        + request.method());
        Thread.sleep(20);
        if (request.method().equals("HEAD")) {
            String id = request.header(Names.of("request-id"));
            Http.write(
                    out,
                    "HTTP/1.1 200 OK\r\n" + Names.of("request-id") + ": " + id + "\r\n"
                            + Names.of("seal") + ": s." + id + "\r\nContent-Length: 800\r\n\r\n",
                    new byte[0]);
        } else {
            worker.answer(request, out, "200 OK", "", new byte[800]);
        }
    }

    public static void main(String[] args) throws Exception {
        Case run = Case.begin(args[0]);
        try {
            new HeadError(run).play();
        } catch (Exception e) {
            run.end(Case.COULD_NOT_RUN, e.toString());
        }
    }

    private void play() throws Exception {
        Thread.sleep(4_000);
        long end = System.nanoTime() + LENGTH_NANOS;
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            Thread thread = new Thread(() -> ask(end));
            thread.start();
            threads.add(thread);
        }
        Thread.sleep(4_000);
        if (Case.isTroubled()) {
            putConfig(2, false);
        }
        for (Thread thread : threads) {
            thread.join();
        }
        mRun.end(
                mForeign.get() > 0 ? Case.BROKEN : mAnswered.get() > 100 ? Case.HELD : Case.COULD_NOT_RUN,
                "answers " + mAnswered + ", bytes that are no answer to the request that waits "
                        + mForeign);
    }

    private void ask(long end) {
        Client client = null;
        while (System.nanoTime() < end) {
            String id = null;
            try {
                client = client == null ? new Client(mGateway.front(), TIMEOUT_MILLIS + 500) : client;
                id = Case.nextId();
                client.send(Case.head("HEAD", "/old/x", id, TIMEOUT_MILLIS, 0, ""), new byte[0]);
                Http.Message head = Http.readHead(client.in());
                mRun.record("answer to HEAD " + id + ": " + head.start);
                mAnswered.incrementAndGet();
                id = Case.nextId();
                client.send(Case.head("GET", "/look/x", id, TIMEOUT_MILLIS, 0, ""), new byte[0]);
                String start = Http.readLine(client.in());
                if (!start.startsWith("HTTP/1.1 ")) {
                    mForeign.incrementAndGet();
                    mRun.record("no answer to GET " + id + ", but: " + start);
                    client.close();
                    client = null;
                    continue;
                }
                Http.Message answer = Http.readAfterStart(client.in(), start);
                mRun.record("answer to GET " + id + ": " + answer.start + ", body of " + answer.body.length);
                mAnswered.incrementAndGet();
                Thread.sleep(50);
            } catch (IOException | InterruptedException e) {
                mRun.record("failed " + id + ": " + e);
                client = null;
            }
        }
    }
}
