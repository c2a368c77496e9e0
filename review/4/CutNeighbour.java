import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One of two gateways is cut from the store while a worker leaves. Clients use the other gateway,
 * which has its path to the store all the while.
 */
final class CutNeighbour {
    private static final int WORKERS = 4;
    private static final int CLIENTS = 8;
    private static final long WORK_MILLIS = 150;
    private static final long MAX_PAUSE_MILLIS = 80;
    private static final long DRAIN_MILLIS = 2_000;

    /** A worker goes on for a little longer than it has to. */
    private static final long LONGER_MILLIS = 1_000;

    private static final long CUT_AT_MILLIS = 4_000;
    private static final long LEAVES_AT_MILLIS = 9_000;
    private static final long HEALED_AT_MILLIS = 11_800;
    private static final long END_MILLIS = 18_000;
    private static final String KEY = "key-of-the-portal";

    private final Case mRun;
    private final AtomicInteger mNext = new AtomicInteger();
    private final AtomicInteger mAnswered = new AtomicInteger();
    private final Set<String> mLate = ConcurrentHashMap.newKeySet();
    private final Set<String> mRan = ConcurrentHashMap.newKeySet();
    private final Set<String> mLost = ConcurrentHashMap.newKeySet();
    private volatile long mLeftAt;

    private CutNeighbour(Case run) {
        mRun = run;
    }

    public static void main(String[] args) {
        Case.main("4", run -> new CutNeighbour(run).run());
    }

    private boolean run() throws Exception {
        List<Worker> workers = new ArrayList<>();
        for (int i = 1; i <= WORKERS; i++) {
            boolean leaves = i == WORKERS;
            workers.add(
                    Worker.plain(
                            mRun.store(),
                            mRun.record(),
                            "desk-" + i,
                            "desk",
                            (worker, request, out, socket) -> {
                                recordRun(request, leaves);
                                Worker.after(WORK_MILLIS).run(worker, request, out, socket);
                            }));
        }
        mRun.store().put("op", "config", Config.of(1, "\"" + KEY + "\""));
        Proxy proxy = new Proxy(mRun.store().address());
        Gateway gateway = mRun.gateway("edge-1").start();
        mRun.gateway("edge-2", proxy.address()).start();
        Thread.sleep(2_000);
        long start = System.nanoTime();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            clients.add(Server.daemon(() -> sendUntil(gateway, start)));
        }
        sleepUntil(start, CUT_AT_MILLIS);
        if (Case.hasTrouble()) {
            mRun.record().add("edge-2 is cut from the store");
            proxy.setCut(true);
        }
        sleepUntil(start, LEAVES_AT_MILLIS);
        mLeftAt = System.nanoTime();
        Server.daemon(() -> leave(workers.get(WORKERS - 1)));
        sleepUntil(start, HEALED_AT_MILLIS);
        proxy.setCut(false);
        mRun.record().add("edge-2 has its path to the store");
        for (Thread client : clients) {
            client.join();
        }
        mRun.record()
                .add(
                        "%d answered; %d requests reached the worker later than drain-ms after it"
                                + " had left; run and not answered by a worker: %s",
                        mAnswered.get(), mLate.size(), mLost);
        if (mAnswered.get() < 100) {
            throw new IllegalStateException("the deployment does not serve requests");
        }
        return mLate.isEmpty();
    }

    private void recordRun(Http.Message request, boolean leaves) {
        String id = request.field("request-id").orElse("-");
        mRan.add(id);
        long since = System.nanoTime() - mLeftAt;
        if (leaves && mLeftAt != 0 && since > TimeUnit.MILLISECONDS.toNanos(DRAIN_MILLIS)) {
            mLate.add(id);
            mRun.record()
                    .add("request %s is LATE: %d ms after the worker left", id, since / 1_000_000);
        }
    }

    private static void leave(Worker worker) {
        try {
            worker.leave(DRAIN_MILLIS + LONGER_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void sleepUntil(long start, long millis) throws InterruptedException {
        long left = start + TimeUnit.MILLISECONDS.toNanos(millis) - System.nanoTime();
        TimeUnit.NANOSECONDS.sleep(Math.max(0, left));
    }

    private void sendUntil(Gateway gateway, long start) {
        while (System.nanoTime() - start < TimeUnit.MILLISECONDS.toNanos(END_MILLIS)) {
            String id = "file-" + mNext.incrementAndGet();
            Map<String, String> headers = Client.headers("Authorization", "Bearer " + KEY);
            Optional<Http.Message> answer =
                    new Client(mRun.record())
                            .send(
                                    gateway.front(), id, "POST", "/file/" + id, 1_000, headers,
                                    "decision".getBytes());
            if (answer.filter(a -> a.status() == 200 && a.complete()).isPresent()) {
                mAnswered.incrementAndGet();
            } else if (mRan.contains(id)) {
                mLost.add(id);
            }
            try {
                Thread.sleep(ThreadLocalRandom.current().nextLong(MAX_PAUSE_MILLIS));
            } catch (InterruptedException e) {
                return;
            }
        }
    }
}
