import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Streams whose event ids are 64-bit numbers; the gateway that carries them is killed, and the
 * clients resume them at another one.
 *
 * <p>Checked is that each client gets each piece of its stream once and in order.
 */
public final class ResumedStream {
    private static final int STREAMS = 8;
    private static final int PIECES = 60;
    private static final int PIECE_MILLIS = 80;
    private static final int TIMEOUT_MILLIS = 15_000;

    /** The id before the first: the time in milliseconds, and 20 bits for the events that follow. */
    private static final long FIRST_ID = System.currentTimeMillis() << 20;

    private final Case mRun;
    private final GatewayProcess mFirst;
    private final GatewayProcess mSecond;
    private final AtomicInteger mWhole = new AtomicInteger();
    private final AtomicInteger mBroken = new AtomicInteger();
    private final AtomicInteger mUnfinished = new AtomicInteger();

    private ResumedStream(Case run) throws Exception {
        mRun = run;
        String models = "[{\"name\":\"m0\",\"version\":1,\"adapters\":[]}]";
        for (int i = 0; i < 2; i++) {
            new Worker("w-" + i, "llm", models, this::work).register(run.store, "ready");
        }
        run.putConfig(
                1,
                Case.route(
                        "check",
                        "/check/",
                        "stream",
                        "llm",
                        TIMEOUT_MILLIS,
                        600,
                        2,
                        ",\"sticky\":true,\"resumable\":true,\"gap-target-ms\":250"));
        run.store.put("op", "version/m0", "{\"model\":\"m0\",\"version\":1}");
        mFirst = new GatewayProcess("edge-1", run.folder, run.store);
        mSecond = new GatewayProcess("edge-2", run.folder, run.store);
        mFirst.start();
        mSecond.start();
        mFirst.awaitReady();
        mSecond.awaitReady();
    }

    private void work(Worker worker, Http.Message request, Socket socket, OutputStream out)
            throws IOException, InterruptedException {
        String id = request.header(Names.of("request-id"));
        if (request.target().startsWith(Names.of("kv-events"))) {
            Thread.sleep(500);
            byte[] none =
                    "{\"boot-epoch\":1,\"next\":1,\"lost\":false,\"events\":[]}"
                            .getBytes(StandardCharsets.UTF_8);
            worker.answer(request, out, "200 OK", "Content-Type: application/json\r\n", none);
            return;
        }
        String last = request.header(Names.of("last-event-id"));
        mRun.record("run " + id + " at " + worker.id() + ", Last-Event-Id " + last);
        long after = last == null ? FIRST_ID : Long.parseLong(last);
        out.write(
                ("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
                                + Names.of("request-id") + ": " + id + "\r\n"
                                + Names.of("seal") + ": s." + id + "\r\n"
                                + Names.of("weights") + ": 1\r\n\r\n")
                        .getBytes(StandardCharsets.US_ASCII));
        for (int piece = 1; piece <= PIECES; piece++) {
            long eventId = FIRST_ID + piece;
            if (eventId > after) {
                String event = "id: " + eventId + "\ndata: piece-" + piece + "\n\n";
                String chunk = Integer.toHexString(event.length()) + "\r\n" + event + "\r\n";
                out.write(chunk.getBytes(StandardCharsets.US_ASCII));
                out.flush();
                Thread.sleep(PIECE_MILLIS);
            }
        }
        out.write("0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        out.flush();
    }

    public static void main(String[] args) throws Exception {
        Case run = Case.begin(args[0]);
        try {
            new ResumedStream(run).play();
        } catch (Exception e) {
            run.end(Case.COULD_NOT_RUN, e.toString());
        }
    }

    private void play() throws Exception {
        Thread.sleep(4_000);
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < STREAMS; i++) {
            Thread thread = new Thread(this::readStream);
            thread.start();
            threads.add(thread);
            Thread.sleep(50);
        }
        Thread.sleep(2_000);
        if (Case.isTroubled()) {
            mRun.record("kill edge-1");
            mFirst.end();
        }
        for (Thread thread : threads) {
            thread.join();
        }
        boolean ran = mWhole.get() + mBroken.get() >= STREAMS / 2;
        mRun.end(
                mBroken.get() > 0 ? Case.BROKEN : ran ? Case.HELD : Case.COULD_NOT_RUN,
                "streams whole " + mWhole + ", with a piece missing or twice " + mBroken
                        + ", unfinished " + mUnfinished);
    }

    private void readStream() {
        List<String> pieces = new ArrayList<>();
        String lastId = null;
        boolean complete = readFrom(mFirst, null, pieces);
        for (int i = 0; i < 3 && !complete; i++) {
            lastId = lastIdOf(pieces);
            complete = readFrom(mSecond, lastId, pieces);
        }
        List<String> expected = new ArrayList<>();
        for (int piece = 1; piece <= PIECES; piece++) {
            expected.add(FIRST_ID + piece + " piece-" + piece);
        }
        if (pieces.equals(expected) && complete) {
            mWhole.incrementAndGet();
        } else if (complete || !expected.subList(0, Math.min(pieces.size(), PIECES)).equals(pieces)) {
            mBroken.incrementAndGet();
            mRun.record("resumed after " + lastId + ", got " + pieces.size() + " pieces: " + pieces);
        } else {
            mUnfinished.incrementAndGet();
        }
    }

    private static String lastIdOf(List<String> pieces) {
        return pieces.isEmpty() ? null : pieces.get(pieces.size() - 1).split(" ")[0];
    }

    /** Reads a stream and returns whether it has ended as complete. */
    private boolean readFrom(GatewayProcess gateway, String lastId, List<String> pieces) {
        String id = Case.nextId();
        mRun.record("send " + id + ", Last-Event-Id " + lastId);
        String more =
                Names.of("model") + ": m0\r\n"
                        + Names.of("tokens") + ": 400,80\r\n"
                        + Names.of("prefix") + ": 5c1e07a2:200,91bd3f06:200\r\n"
                        + (lastId == null ? "" : Names.of("last-event-id") + ": " + lastId + "\r\n");
        try (Client client = new Client(gateway.front(), TIMEOUT_MILLIS)) {
            client.send(Case.head("POST", "/check/x", id, TIMEOUT_MILLIS, 100, more), new byte[100]);
            Http.Message head = Http.readHead(client.in());
            mRun.record("answer to " + id + " begins, " + head.status());
            if (head.status() != 200) {
                return false;
            }
            return readEvents(client, pieces);
        } catch (IOException e) {
            mRun.record("answer to " + id + " breaks off after " + pieces.size() + " pieces: " + e);
            return false;
        }
    }

    private static boolean readEvents(Client client, List<String> pieces) throws IOException {
        StringBuilder text = new StringBuilder();
        while (true) {
            int size = Integer.parseInt(Http.readLine(client.in()), 16);
            text.append(new String(client.in().readNBytes(size), StandardCharsets.US_ASCII));
            Http.readLine(client.in());
            for (int end = text.indexOf("\n\n"); end >= 0; end = text.indexOf("\n\n")) {
                String[] lines = text.substring(0, end).split("\n");
                pieces.add(lines[0].substring(4) + " " + lines[1].substring(6));
                text.delete(0, end + 2);
            }
            if (size == 0) {
                return true;
            }
        }
    }
}
