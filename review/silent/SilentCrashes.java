import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One part of a prompt crashes each worker that begins to write an answer on it. The crash is
 * silent: connections get no more byte, and no reset.
 */
final class SilentCrashes {
    private static final int WORKERS = 6;
    private static final int EVENTS = 12;
    private static final long EVENT_MILLIS = 20;
    private static final long DOWN_MILLIS = 3_000;
    private static final long CONTACT_MILLIS = 3_000;
    private static final long SEND_MILLIS = 100;
    private static final long CALM_MILLIS = 15_000;
    private static final long TROUBLE_MILLIS = 60_000;
    private static final double DEADLY_SHARE = 0.05;
    private static final int CRASHES_IN_RULE = 5;

    /** As many requests with the part may still reach workers. */
    private static final int ALLOWED_ARRIVALS = 3;

    private static final String DEADLY_PART = "dead1";
    private static final String KEY = "key-of-the-portal";

    private final Case mRun;
    private final List<Long> mCrashes = new CopyOnWriteArrayList<>();
    private final List<Long> mDeadlyArrivals = new CopyOnWriteArrayList<>();
    private final Set<String> mBegun = ConcurrentHashMap.newKeySet();
    private final Map<String, Long> mSound = new ConcurrentHashMap<>();
    private final Set<String> mComplete = ConcurrentHashMap.newKeySet();

    private SilentCrashes(Case run) {
        mRun = run;
    }

    public static void main(String[] args) {
        Case.main("5", run -> new SilentCrashes(run).run());
    }

    private boolean run() throws Exception {
        for (int i = 1; i <= WORKERS; i++) {
            Worker.engine(
                    mRun.store(),
                    mRun.record(),
                    "model-" + i,
                    "models",
                    (worker, request, out, socket) -> answer(worker, request, out));
        }
        mRun.store().put("op", "config", Config.of(1, "\"" + KEY + "\""));
        mRun.store().put("op", "version/m0", "{\"model\":\"m0\",\"version\":1}");
        Gateway gateway = mRun.gateway("edge-1").start();
        Thread.sleep(1_000);
        List<Thread> clients = new ArrayList<>();
        long start = System.nanoTime();
        long troubleFrom = start + TimeUnit.MILLISECONDS.toNanos(CALM_MILLIS);
        long end = troubleFrom + TimeUnit.MILLISECONDS.toNanos(TROUBLE_MILLIS);
        for (int number = 1; System.nanoTime() < end; number++) {
            boolean deadly =
                    Case.hasTrouble()
                            && System.nanoTime() > troubleFrom
                            && ThreadLocalRandom.current().nextDouble() < DEADLY_SHARE;
            int fixed = number;
            clients.add(Server.daemon(() -> send(gateway, fixed, deadly)));
            Thread.sleep(SEND_MILLIS);
        }
        for (Thread client : clients) {
            client.join();
        }
        return judge(troubleFrom);
    }

    private void answer(Worker worker, Http.Message request, OutputStream out) throws Exception {
        int life = worker.life();
        String id = request.field("request-id").orElse("-");
        boolean deadly = request.field("prefix").orElse("").contains(DEADLY_PART + ":");
        if (deadly) {
            mDeadlyArrivals.add(System.nanoTime());
            Thread.sleep(EVENT_MILLIS);
            synchronized (worker) {
                if (life == worker.life()) {
                    mCrashes.add(System.nanoTime());
                    mRun.record().add("%s  CRASHES on request %s", worker.id(), id);
                    worker.crashSilently(DOWN_MILLIS);
                }
            }
            Server.sleepForever();
        }
        mBegun.add(id);
        out.write(worker.streamHead(request));
        for (int event = 1; event <= EVENTS; event++) {
            sleepForeverIfCrashed(worker, life);
            out.write(Worker.event(event));
            Thread.sleep(EVENT_MILLIS);
        }
        sleepForeverIfCrashed(worker, life);
        out.write(Worker.lastChunk());
    }

    private static void sleepForeverIfCrashed(Worker worker, int life)
            throws InterruptedException {
        if (life != worker.life()) {
            Server.sleepForever();
        }
    }

    private void send(Gateway gateway, int number, boolean deadly) {
        String id = (deadly ? "deadly-" : "sound-") + number;
        String shared = deadly ? DEADLY_PART : "d" + Integer.toHexString(256 + number % 30);
        String prefix =
                "c%d:2520,%s:3780,%s:2890".formatted(number % 4, shared, Integer.toHexString(1 << 20 | number));
        Map<String, String> headers =
                Client.headers(
                        "Authorization", "Bearer " + KEY,
                        Wire.name("model"), Worker.MODEL,
                        Wire.name("tokens"), "9190,13",
                        Wire.name("prefix"), prefix);
        if (!deadly) {
            mSound.put(id, System.nanoTime());
        }
        Optional<Http.Message> answer =
                new Client(mRun.record())
                        .send(
                                gateway.front(), id, "POST", "/check/" + number, 6_000, headers,
                                "prompt".getBytes());
        if (answer.filter(a -> a.status() == 200 && a.complete()).isPresent()) {
            mComplete.add(id);
        }
    }

    private boolean judge(long troubleFrom) {
        double calm = shareBegun(Long.MIN_VALUE, troubleFrom);
        if (calm < 0.9) {
            throw new IllegalStateException("the deployment does not serve streams: " + calm);
        }
        int crashes = mCrashes.size();
        mRun.record().add("%d crashes; sound requests begun before: %.2f", crashes, calm);
        if (crashes == 0) {
            return shareBegun(troubleFrom, Long.MAX_VALUE) >= calm / 2;
        }
        long fifth = mCrashes.get(Math.min(CRASHES_IN_RULE, crashes) - 1);
        long contact = TimeUnit.MILLISECONDS.toNanos(CONTACT_MILLIS);
        double later = shareBegun(fifth + 2 * contact, Long.MAX_VALUE);
        long arrivals =
                crashes < CRASHES_IN_RULE
                        ? 0
                        : mDeadlyArrivals.stream().filter(t -> t > fifth + contact).count();
        mRun.record()
                .add(
                        "%d requests with the part reached workers later than contact-ms after"
                                + " crash %d; sound requests from 2 x contact-ms after it: %.2f"
                                + " begun, %.2f complete",
                        arrivals,
                        Math.min(CRASHES_IN_RULE, crashes),
                        later,
                        share(mComplete, fifth + 2 * contact, Long.MAX_VALUE));
        return arrivals <= ALLOWED_ARRIVALS && later >= calm / 2;
    }

    private double shareBegun(long from, long to) {
        return share(mBegun, from, to);
    }

    private double share(Set<String> ids, long from, long to) {
        List<String> sent =
                mSound.entrySet().stream()
                        .filter(e -> e.getValue() >= from && e.getValue() < to)
                        .map(Map.Entry::getKey)
                        .toList();
        return (double) sent.stream().filter(ids::contains).count() / Math.max(1, sent.size());
    }
}
