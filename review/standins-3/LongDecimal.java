import java.io.IOException;
import java.io.OutputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Workers in need name a decimal number with many digits: of requests a second, or of seconds
 * without requests. Exits with 10 if they get more than they allow.
 */
final class LongDecimal {
    /** The exit status if the rule was broken; 1 is that of a JVM that could not run. */
    private static final int BROKEN = 10;

    /** What workers in need say. */
    private enum Notice {
        /** All answers carry the limit in requests a second. */
        LIMIT,
        /** All requests are turned away for a time. */
        PAUSE
    }

    private static final int WORKERS = 3;

    /** Of these, a share of 0.7 is in need of a limit, or one turns requests away. */
    private static final int LIMITED_WORKERS = 2;

    /** 38.5 requests a second. */
    private static final long REQUEST_GAP_MILLIS = 26;

    private static final long CALM_MILLIS = 3_000;
    private static final long NEED_MILLIS = 15_000;
    private static final long CONTACT_MILLIS = 3_000;
    private static final long WINDOW_MILLIS = 4_000;
    private static final long PAUSE_SLACK_MILLIS = 500;
    private static final int MAX_REQUESTS_IN_PAUSE = 2;

    private static final String CONFIG =
            "{\"version\":7,\"routes\":["
                + "{\"name\":\"r1\",\"host\":\"a.example\",\"prefix\":\"/look/\","
                + "\"kind\":\"safe\",\"timeout-ms\":1000,\"goal-ms\":150,\"priority\":2,"
                + "\"service\":\"desk\",\"attempts\":2,\"public\":false}],"
                + "\"services\":[{\"name\":\"desk\",\"health-path\":\"/healthz\","
                + "\"max-conns\":96,\"protocol\":\"h1\",\"tls\":false}],"
                + "\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,"
                + "\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000},"
                + "\"tenants\":[{\"name\":\"t1\",\"api-keys\":[\"key-1\"],\"priority\":1,"
                + "\"isolated\":false}]}";

    private final Record mRecord;
    private final GatewayProcess mGateway;
    private final Notice mNotice;
    private final String mNumber;

    /** When requests reached each worker, in ms. */
    private final Map<String, List<Long>> mArrivals = new ConcurrentHashMap<>();

    /** When each worker in need gave its notice, in ms. */
    private final Map<String, List<Long>> mNotices = new ConcurrentHashMap<>();

    private volatile long mNeedFrom = Long.MAX_VALUE;
    private volatile long mNeedUntil = Long.MAX_VALUE;

    private LongDecimal(Record record, Path folder, Notice notice, String number)
            throws IOException {
        mRecord = record;
        mNotice = notice;
        mNumber = number;
        StoreStandin store = new StoreStandin();
        store.put("op", "config", CONFIG);
        for (int i = 1; i <= WORKERS; i++) {
            mArrivals.put("i-" + i, new ArrayList<>());
            mNotices.put("i-" + i, new ArrayList<>());
            new WorkerStandin(store, "i-" + i, "desk", "", this::run);
        }
        mGateway = new GatewayProcess(folder, "edge-ne-a-1", "127.0.0.11", store.address(), 280);
    }

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int status = 2;
        try (Record record = new Record(Path.of(args[0]))) {
            LongDecimal run =
                    new LongDecimal(
                            record, Path.of(args[1]), Notice.valueOf(args[2]), args[3]);
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

    private boolean isInNeed(WorkerStandin worker) {
        int inNeed = mNotice == Notice.LIMIT ? LIMITED_WORKERS : 1;
        boolean isOne = Integer.parseInt(worker.id().substring(2)) <= inNeed;
        long now = mRecord.now();
        return isOne && now >= mNeedFrom && now < mNeedUntil;
    }

    private void run(WorkerStandin worker, Message request, OutputStream out)
            throws IOException, InterruptedException {
        String id = request.field(Names.of("request-id"));
        note(mArrivals, worker);
        mRecord.line(worker.id() + " gets " + id);
        if (!isInNeed(worker)) {
            Thread.sleep(43);
            WorkerStandin.answer(request, out, 200, "", "done " + id);
        } else if (mNotice == Notice.LIMIT) {
            Thread.sleep(43);
            String field = Names.of("server-limit") + ": " + mNumber + "\r\n";
            WorkerStandin.answer(request, out, 200, field, "done " + id);
            note(mNotices, worker);
        } else {
            String fields =
                    Names.of("not-run") + ": 1\r\n"
                            + Names.of("retry-after") + ": " + mNumber + "\r\n";
            WorkerStandin.answer(request, out, 503, fields, "");
            note(mNotices, worker);
            mRecord.line(worker.id() + " turns " + id + " away for " + mNumber + " s");
        }
    }

    private void note(Map<String, List<Long>> times, WorkerStandin worker) {
        List<Long> list = times.get(worker.id());
        synchronized (list) {
            list.add(mRecord.now());
        }
    }

    /** Returns whether the rule held. */
    private boolean play(boolean trouble) throws IOException, InterruptedException {
        mGateway.start();
        mGateway.awaitReady();
        Thread.sleep(1_000);
        long start = mRecord.now();
        if (trouble) {
            mNeedFrom = start + CALM_MILLIS;
            mNeedUntil = mNeedFrom + NEED_MILLIS;
        }
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; mRecord.now() < start + CALM_MILLIS + NEED_MILLIS; i++) {
            int number = i;
            Thread thread = new Thread(() -> send("request-" + number));
            threads.add(thread);
            thread.start();
            Thread.sleep(REQUEST_GAP_MILLIS);
        }
        for (Thread thread : threads) {
            thread.join();
        }
        boolean holds = true;
        for (int i = 1; i <= WORKERS; i++) {
            String worker = "i-" + i;
            holds &= mNotice == Notice.LIMIT ? keepsLimit(worker) : keepsPause(worker);
        }
        return holds;
    }

    private boolean keepsLimit(String worker) {
        List<Long> notices = mNotices.get(worker);
        if (notices.isEmpty()) {
            return true;
        }
        long from = notices.get(0) + CONTACT_MILLIS;
        double allowed = 1.5 * Double.parseDouble(mNumber) * WINDOW_MILLIS / 1_000 + 5;
        List<Long> counted =
                mArrivals.get(worker).stream()
                        .filter(at -> at >= from && at < mNeedUntil)
                        .toList();
        long most = 0;
        for (long begin : counted) {
            long inWindow =
                    counted.stream()
                            .filter(at -> at >= begin && at < begin + WINDOW_MILLIS)
                            .count();
            most = Math.max(most, inWindow);
        }
        mRecord.line(worker + " gets " + most + " in some 4 s, allowed " + allowed);
        return most <= allowed;
    }

    private boolean keepsPause(String worker) {
        long pauseMillis = (long) (1_000 * Double.parseDouble(mNumber));
        long most = 0;
        for (long notice : mNotices.get(worker)) {
            long inPause =
                    mArrivals.get(worker).stream()
                            .filter(at -> at > notice + PAUSE_SLACK_MILLIS)
                            .filter(at -> at < notice + pauseMillis)
                            .count();
            most = Math.max(most, inPause);
        }
        mRecord.line(worker + " gets " + most + " in one of its pauses");
        return most <= MAX_REQUESTS_IN_PAUSE;
    }

    private void send(String id) {
        String end;
        try (ClientConnection connection = new ClientConnection(mGateway, 2_000)) {
            connection.write(
                    ClientConnection.head("GET", "a.example", "/look/x", id, 1_000) + "\r\n");
            Message answer = connection.read();
            end = answer == null ? "closed" : "answered " + answer.status();
        } catch (IOException e) {
            end = "broken: " + e;
        }
        mRecord.line(id + " " + end);
    }
}
