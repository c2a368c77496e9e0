import java.io.IOException;
import java.io.OutputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A part of a prompt crashes each model worker some time after it has begun to write an answer on
 * it. Exits with 10 if too many requests with that part still reach workers after the fifth crash.
 */
final class LatePoison {
    /** The exit status if the rule was broken; 1 is that of a JVM that could not run. */
    private static final int BROKEN = 10;

    private static final int WORKERS = 6;
    private static final String DEADLY_PART = "deadbeef";

    /** Sound requests: 10.4 a second; 1 of 21 has the deadly part, which is a share of 0.05. */
    private static final long REQUEST_GAP_MILLIS = 92;

    private static final int DEADLY_EVERY = 21;
    private static final long CALM_MILLIS = 4_000;
    private static final long POISON_MILLIS = 22_000;
    private static final long RESTART_MILLIS = 3_000;
    private static final long CONTACT_MILLIS = 3_000;
    private static final int CRASHES_KNOWN = 5;
    private static final int MAX_LATE_REQUESTS = 3;
    private static final int EVENTS = 13;
    private static final long EVENT_GAP_MILLIS = 25;

    private final Record mRecord;
    private final StoreStandin mStore;
    private final GatewayProcess mGateway;
    private final boolean mTrouble;
    private final long mCrashDelayMillis;
    private final AtomicInteger mWorkers = new AtomicInteger();
    private final List<Long> mCrashes = new ArrayList<>();
    private final List<Long> mDeadlyArrivals = new ArrayList<>();

    private LatePoison(Record record, Path folder, boolean trouble, long crashDelayMillis)
            throws IOException {
        mRecord = record;
        mTrouble = trouble;
        mCrashDelayMillis = crashDelayMillis;
        mStore = new StoreStandin();
        mStore.put("op", "config", Engines.CONFIG);
        mStore.put("op", "version/m0", "{\"model\":\"m0\",\"version\":1}");
        for (int i = 0; i < WORKERS; i++) {
            startWorker();
        }
        mGateway =
                new GatewayProcess(folder, "edge-ne-a-1", "127.0.0.11", mStore.address(), 280);
    }

    private void startWorker() throws IOException {
        new WorkerStandin(
                mStore, "i-" + mWorkers.incrementAndGet(), "models", Engines.ENTRY, this::run);
    }

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int status = 2;
        try (Record record = new Record(Path.of(args[0]))) {
            LatePoison run =
                    new LatePoison(record, Path.of(args[1]), trouble, Long.parseLong(args[2]));
            try {
                status = run.play() ? 0 : BROKEN;
            } catch (IOException e) {
                record.line("could not run: " + e);
            } finally {
                run.mGateway.end();
            }
            record.line("exit " + status);
        }
        System.exit(status);
    }

    private void run(WorkerStandin worker, Message request, OutputStream out)
            throws IOException, InterruptedException {
        if (!Engines.answerControl(request, out)) {
            stream(worker, request, out);
        }
    }

    private void stream(WorkerStandin worker, Message request, OutputStream out)
            throws IOException, InterruptedException {
        String id = request.field(Names.of("request-id"));
        boolean deadly = request.field(Names.of("prefix")).contains(DEADLY_PART);
        if (deadly) {
            synchronized (this) {
                mDeadlyArrivals.add(mRecord.now());
            }
        }
        mRecord.line(worker.id() + " gets " + id + (deadly ? " with the deadly part" : ""));
        Thread.sleep(40);
        Engines.startStream(request, out);
        String last = request.field(Names.of("last-event-id"));
        for (int i = last == null ? 1 : Integer.parseInt(last) + 1; i <= EVENTS; i++) {
            Engines.writeEvent(out, i, id);
            if (deadly && mTrouble) {
                Thread.sleep(mCrashDelayMillis);
                crash(worker);
                return;
            }
            Thread.sleep(EVENT_GAP_MILLIS);
        }
        Engines.endStream(out);
    }

    private void crash(WorkerStandin worker) throws IOException {
        if (!worker.crash()) {
            return;
        }
        synchronized (this) {
            mCrashes.add(mRecord.now());
        }
        mRecord.line(worker.id() + " crashes");
        WorkerStandin.daemon(
                () -> {
                    try {
                        Thread.sleep(RESTART_MILLIS);
                        startWorker();
                    } catch (IOException | InterruptedException e) {
                        mRecord.line("a worker did not start: " + e);
                    }
                });
    }

    /** Returns whether the rule held. */
    private boolean play() throws IOException, InterruptedException {
        mGateway.start();
        mGateway.awaitReady();
        Thread.sleep(1_000);
        long start = mRecord.now();
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; mRecord.now() < start + CALM_MILLIS + POISON_MILLIS; i++) {
            boolean deadly = i % DEADLY_EVERY == 0 && mRecord.now() >= start + CALM_MILLIS;
            int number = i;
            Thread thread = new Thread(() -> send(number, deadly));
            threads.add(thread);
            thread.start();
            Thread.sleep(REQUEST_GAP_MILLIS);
        }
        for (Thread thread : threads) {
            thread.join();
        }
        return judge();
    }

    private synchronized boolean judge() {
        mRecord.line("crashes " + mCrashes + ", deadly requests at workers " + mDeadlyArrivals);
        if (mCrashes.size() < CRASHES_KNOWN) {
            return true;
        }
        long from = mCrashes.get(CRASHES_KNOWN - 1) + CONTACT_MILLIS;
        long late = mDeadlyArrivals.stream().filter(at -> at > from).count();
        mRecord.line("requests with the deadly part at workers after " + from + ": " + late);
        return late <= MAX_LATE_REQUESTS;
    }

    private void send(int number, boolean deadly) {
        String id = "request-" + number;
        String shared = String.format("a%d:2520,b%02d:3780", number % 4, number % 100);
        String parts =
                (deadly ? "c" + number + ":2520," + DEADLY_PART + ":3780" : shared)
                        + String.format(",f%06x:2890", number);
        String end;
        try (ClientConnection connection = new ClientConnection(mGateway, 7_000)) {
            connection.write(
                    ClientConnection.head("POST", "a.example", "/check/x", id, 6_000)
                            + Engines.promptFields("9190,52", parts)
                            + "Content-Length: 4\r\n\r\nbody");
            Message answer = connection.read();
            end = answer == null ? "closed" : "answered " + answer.status();
        } catch (IOException e) {
            end = "broken: " + e;
        }
        mRecord.line(id + (deadly ? " with the deadly part " : " ") + end);
    }
}
