import java.io.IOException;
import java.io.OutputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Clients resume their streams at another machine after theirs was killed. The ids of the events
 * are increasing numbers of 19 digits. Exits with 10 if a piece is missing or comes twice.
 */
final class LargeEventIds {
    /** The exit status if the rule was broken; 1 is that of a JVM that could not run. */
    private static final int BROKEN = 10;

    private static final int STREAMS = 6;
    private static final int EVENTS = 13;
    private static final long EVENT_GAP_MILLIS = 100;

    /** The id before the first event: a time in ns, from which the worker counts on. */
    private static final long FIRST_ID = 1_765_134_000_000_000_000L;

    private static final long START_GAP_MILLIS = 30;
    private static final long KILL_AFTER_MILLIS = 600;

    private final Record mRecord;
    private final GatewayProcess mFirst;
    private final GatewayProcess mSecond;

    /** The pieces that each client got, in the order in which they came. */
    private final Map<Integer, List<String>> mPieces = new ConcurrentHashMap<>();

    private LargeEventIds(Record record, Path folder) throws IOException {
        mRecord = record;
        StoreStandin store = new StoreStandin();
        store.put("op", "config", Engines.CONFIG);
        store.put("op", "version/m0", "{\"model\":\"m0\",\"version\":1}");
        for (int i = 1; i <= 3; i++) {
            new WorkerStandin(store, "i-" + i, "models", Engines.ENTRY, this::run);
        }
        mFirst = new GatewayProcess(folder, "edge-ne-a-1", "127.0.0.11", store.address(), 280);
        mSecond = new GatewayProcess(folder, "edge-ne-b-1", "127.0.0.12", store.address(), 280);
    }

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int status = 2;
        try (Record record = new Record(Path.of(args[0]))) {
            LargeEventIds run = new LargeEventIds(record, Path.of(args[1]));
            try {
                status = run.play(trouble) ? 0 : BROKEN;
            } catch (IOException e) {
                record.line("could not run: " + e);
            } finally {
                run.mFirst.end();
                run.mSecond.end();
            }
            record.line("exit " + status);
        }
        System.exit(status);
    }

    /** Makes the events after the one that the request names, or all. */
    private void run(WorkerStandin worker, Message request, OutputStream out)
            throws IOException, InterruptedException {
        if (Engines.answerControl(request, out)) {
            return;
        }
        String id = request.field(Names.of("request-id"));
        String last = request.field(Names.of("last-event-id"));
        mRecord.line(worker.id() + " runs " + id + " after event " + last);
        long from = last == null ? FIRST_ID : Long.parseLong(last);
        Thread.sleep(40);
        Engines.startStream(request, out);
        for (long event = FIRST_ID + 1; event <= FIRST_ID + EVENTS; event++) {
            if (event > from) {
                Engines.writeEvent(out, event, "piece-" + (event - FIRST_ID));
                Thread.sleep(EVENT_GAP_MILLIS);
            }
        }
        Engines.endStream(out);
    }

    /** Returns whether the rule held. */
    private boolean play(boolean trouble) throws IOException, InterruptedException {
        mFirst.start();
        mSecond.start();
        mFirst.awaitReady();
        mSecond.awaitReady();
        Thread.sleep(1_000);
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < STREAMS; i++) {
            int client = i;
            mPieces.put(client, new ArrayList<>());
            Thread thread = new Thread(() -> read(client));
            threads.add(thread);
            thread.start();
            Thread.sleep(START_GAP_MILLIS);
        }
        if (trouble) {
            Thread.sleep(KILL_AFTER_MILLIS);
            mRecord.line("edge-ne-a-1 is killed");
            mFirst.signal("KILL");
        }
        for (Thread thread : threads) {
            thread.join();
        }
        return judge();
    }

    private boolean judge() {
        List<String> expected = new ArrayList<>();
        for (int i = 1; i <= EVENTS; i++) {
            expected.add("piece-" + i);
        }
        long whole = mPieces.values().stream().filter(expected::equals).count();
        mPieces.forEach((client, pieces) -> mRecord.line("client " + client + " got " + pieces));
        mRecord.line(whole + " of " + STREAMS + " streams have each piece once, in order");
        return whole == STREAMS;
    }

    /** Reads a stream, at the first machine and then, if that breaks off, at the second one. */
    private void read(int client) {
        String last = read(client, mFirst, "stream-" + client + "-a", null);
        if (last != null) {
            read(client, mSecond, "stream-" + client + "-b", last);
        }
    }

    /** Returns the id of the last event if the stream broke off, null if it is complete. */
    private String read(int client, GatewayProcess gateway, String id, String after) {
        String last = after;
        String sent = after == null ? "" : Names.of("last-event-id") + ": " + after + "\r\n";
        mRecord.line(id + " is sent to " + gateway.ip() + " after event " + after);
        try (ClientConnection connection = new ClientConnection(gateway, 5_000)) {
            connection.write(
                    ClientConnection.head("POST", "a.example", "/check/x", id, 6_000)
                            + Engines.promptFields("826,52", "a1:119,b1:79,c" + client + ":628")
                            + sent
                            + "Content-Length: 4\r\n\r\nbody");
            mRecord.line(id + " gets " + connection.readLine());
            String event = null;
            for (String line = connection.readLine(); line != null; line = connection.readLine()) {
                if (line.startsWith("id:")) {
                    event = line.substring(3).trim();
                } else if (line.startsWith("data:")) {
                    mPieces.get(client).add(line.substring(5).trim());
                    last = event;
                } else if (line.equals("0")) {
                    return null;
                }
            }
        } catch (IOException e) {
            mRecord.line(id + " broke off: " + e);
        }
        return last;
    }
}
