import java.io.IOException;
import java.io.OutputStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;

/**
 * A worker runs streams that may not be repeated, and loses the answers of some: it resets their
 * connections and works on. Exits with 10 if a request goes on at another worker meanwhile.
 */
final class LostAnswer {
    /** The exit status if the rule was broken; 1 is that of a JVM that could not run. */
    private static final int BROKEN = 10;

    private static final int WORKERS = 4;

    /** Half of the workers lose answers. */
    private static final int LOSING_WORKERS = 2;

    /** One request in 20 of these workers loses its answer, which is a share of 0.05. */
    private static final int LOSES_EVERY = 20;

    private static final int EVENTS = 18;
    private static final long EVENT_GAP_MILLIS = 60;
    private static final int EVENTS_BEFORE_LOSS = 4;

    /** 27.6 requests a second. */
    private static final long REQUEST_GAP_MILLIS = 36;

    private static final long CALM_MILLIS = 2_000;
    private static final long TROUBLE_MILLIS = 4_000;
    private static final long OVERLAP_MILLIS = 400;

    /**
     * A run of a request at a worker.
     *
     * @param from the event after which it begins, null for the first
     */
    private static final class Run {
        private final String mWorker;
        private final String mFrom;
        private final long mBeganAt;
        private volatile long mEndedAt = Long.MAX_VALUE;

        Run(String worker, String from, long beganAt) {
            mWorker = worker;
            mFrom = from;
            mBeganAt = beganAt;
        }
    }

    private final Record mRecord;
    private final GatewayProcess mGateway;
    private final Map<String, List<Run>> mRuns = new ConcurrentHashMap<>();

    /** The address of the worker that gets the memory of each request. */
    private final Map<String, String> mBackups = new ConcurrentHashMap<>();

    private final Map<String, Integer> mCounts = new ConcurrentHashMap<>();
    private volatile long mLoseFrom = Long.MAX_VALUE;

    private LostAnswer(Record record, Path folder) throws IOException {
        mRecord = record;
        StoreStandin store = new StoreStandin();
        store.put("op", "config", Engines.UNREPEATABLE_CONFIG);
        store.put("op", "version/m0", "{\"model\":\"m0\",\"version\":1}");
        for (int i = 1; i <= WORKERS; i++) {
            new WorkerStandin(store, "i-" + i, "models", Engines.ENTRY, this::run);
        }
        mGateway = new GatewayProcess(folder, "edge-ne-a-1", "127.0.0.11", store.address(), 280);
    }

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int status = 2;
        try (Record record = new Record(Path.of(args[0]))) {
            LostAnswer run = new LostAnswer(record, Path.of(args[1]));
            try {
                status = run.play(trouble) ? 0 : BROKEN;
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
        if (Engines.answerControl(request, out)) {
            return;
        }
        String id = request.field(Names.of("request-id"));
        String last = request.field(Names.of("last-event-id"));
        String backup = request.field(Names.of("kv-backup"));
        String from = request.field(Names.of("copy-from"));
        if (from != null && !worker.address().equals(mBackups.get(id))) {
            WorkerStandin.answer(request, out, 503, Names.of("not-run") + ": 1\r\n", "");
            return;
        }
        if (backup != null) {
            mBackups.put(id, backup);
        }
        Run run = new Run(worker.id(), last, mRecord.now());
        mRuns.computeIfAbsent(id, k -> new ArrayList<>());
        synchronized (mRuns.get(id)) {
            mRuns.get(id).add(run);
        }
        mRecord.line(
                worker.id() + " runs " + id + " after event " + last + ", backup at " + backup
                        + ", from " + from);
        boolean loses = last == null && losesAnswer(worker);
        Thread.sleep(40);
        Engines.startStream(request, out);
        int first = last == null ? 1 : Integer.parseInt(last) + 1;
        for (int event = first; event <= EVENTS; event++) {
            if (loses && event == EVENTS_BEFORE_LOSS + 1) {
                mRecord.line(worker.id() + " resets the connection of " + id + " and works on");
                worker.resetConnection();
            }
            if (!loses || event <= EVENTS_BEFORE_LOSS) {
                Engines.writeEvent(out, event, id);
            }
            Thread.sleep(EVENT_GAP_MILLIS);
        }
        run.mEndedAt = mRecord.now();
        if (!loses) {
            Engines.endStream(out);
        } else {
            mRecord.line(worker.id() + " has run " + id + " to its end");
        }
    }

    private boolean losesAnswer(WorkerStandin worker) {
        boolean isLosing = Integer.parseInt(worker.id().substring(2)) <= LOSING_WORKERS;
        long now = mRecord.now();
        return isLosing
                && now >= mLoseFrom
                && now < mLoseFrom + TROUBLE_MILLIS
                && mCounts.merge(worker.id(), 1, Integer::sum) % LOSES_EVERY == LOSES_EVERY / 2;
    }

    /** Returns whether the rule held. */
    private boolean play(boolean trouble) throws IOException, InterruptedException {
        mGateway.start();
        mGateway.awaitReady();
        Thread.sleep(1_000);
        long start = mRecord.now();
        mLoseFrom = trouble ? start + CALM_MILLIS : Long.MAX_VALUE;
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; mRecord.now() < start + CALM_MILLIS + TROUBLE_MILLIS; i++) {
            String id = "request-" + i;
            Thread thread = new Thread(() -> send(id));
            threads.add(thread);
            thread.start();
            Thread.sleep(REQUEST_GAP_MILLIS);
        }
        for (Thread thread : threads) {
            thread.join();
        }
        return judge();
    }

    private boolean judge() {
        long broken = 0;
        for (Map.Entry<String, List<Run>> request : mRuns.entrySet()) {
            List<Run> runs = request.getValue();
            for (int i = 1; i < runs.size(); i++) {
                long overlap = runs.get(i - 1).mEndedAt - runs.get(i).mBeganAt;
                mRecord.line(
                        request.getKey() + " goes on at " + runs.get(i).mWorker + " after event "
                                + runs.get(i).mFrom + ", " + overlap + " ms before "
                                + runs.get(i - 1).mWorker + " ends its work on it");
                broken += overlap > OVERLAP_MILLIS ? 1 : 0;
            }
        }
        mRecord.line(broken + " requests go on elsewhere while the worker before works on them");
        return broken == 0;
    }

    private void send(String id) {
        String end = "broke off";
        int shared = ThreadLocalRandom.current().nextInt(8);
        try (ClientConnection connection = new ClientConnection(mGateway, 6_000)) {
            connection.write(
                    ClientConnection.head("POST", "a.example", "/check/x", id, 15_000)
                            + Engines.promptFields(
                                    "826,73",
                                    "a" + shared + ":119,b" + shared + ":79,c"
                                            + Integer.toHexString(id.hashCode()) + ":628")
                            + "Content-Length: 4\r\n\r\nbody");
            Message answer = connection.read();
            end = answer == null ? "closed" : "answered " + answer.status();
        } catch (IOException e) {
            end = "broken: " + e;
        }
        mRecord.line(id + " " + end);
    }
}
