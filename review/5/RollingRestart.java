import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** The two gateways of a deployment are stopped and started in turn while clients go on sending. */
final class RollingRestart {
    private static final String KEY = "key-of-the-portal";
    private static final int CLIENTS = 36;
    private static final int STREAMS = 4;
    private static final int EVENTS = 120;
    private static final long EVENT_MILLIS = 100;
    private static final long WORK_MILLIS = 150;
    private static final long MAX_PAUSE_MILLIS = 80;
    private static final long STREAMS_BEFORE_MILLIS = 1_000;
    private static final long GAP_MILLIS = 2_000;
    private static final long GRACE_MILLIS = 8_000;
    private static final long RESTART_MILLIS = 300;
    private static final long END_MILLIS = 14_000;

    /** A client keeps a response for its time to live of 1 s, some of them three times as long. */
    private static final long[] TTL_MILLIS = {1_000, 1_000, 3_000};

    private final Case mRun;
    private final List<Gateway> mGateways = new ArrayList<>();
    private final AtomicInteger mNext = new AtomicInteger();
    private final AtomicInteger mAnswered = new AtomicInteger();
    private final Set<String> mRan = ConcurrentHashMap.newKeySet();
    private final Set<String> mLost = ConcurrentHashMap.newKeySet();

    private RollingRestart(Case run) {
        mRun = run;
    }

    public static void main(String[] args) {
        Case.main("5", run -> new RollingRestart(run).run());
    }

    private boolean run() throws Exception {
        for (int i = 1; i <= 4; i++) {
            Worker.plain(
                    mRun.store(),
                    mRun.record(),
                    "desk-" + i,
                    "desk",
                    (worker, request, out, socket) -> {
                        mRan.add(request.field("request-id").orElse("-"));
                        Worker.after(WORK_MILLIS).run(worker, request, out, socket);
                    });
            Worker.engine(
                    mRun.store(),
                    mRun.record(),
                    "model-" + i,
                    "models",
                    (worker, request, out, socket) -> {
                        out.write(worker.streamHead(request));
                        for (int event = 1; event <= EVENTS; event++) {
                            out.write(Worker.event(event));
                            Thread.sleep(EVENT_MILLIS);
                        }
                        out.write(Worker.lastChunk());
                    });
        }
        mRun.store().put("op", "config", Config.of(1, "\"" + KEY + "\""));
        mRun.store().put("op", "version/m0", "{\"model\":\"m0\",\"version\":1}");
        mGateways.add(mRun.gateway("edge-1").start());
        mGateways.add(mRun.gateway("edge-2").start());
        Thread.sleep(2_000);
        long start = System.nanoTime();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            Directory directory = new Directory(mGateways, TTL_MILLIS[i % TTL_MILLIS.length]);
            clients.add(Server.daemon(() -> sendUntil(directory, start)));
        }
        for (int i = 1; i <= STREAMS; i++) {
            String id = "note-" + i;
            int port = mGateways.get(i % mGateways.size()).front();
            clients.add(Server.daemon(() -> stream(port, id)));
        }
        Thread.sleep(STREAMS_BEFORE_MILLIS);
        if (Case.hasTrouble()) {
            for (Gateway gateway : mGateways) {
                clients.add(Server.daemon(() -> restart(gateway)));
                Thread.sleep(GAP_MILLIS);
            }
        }
        for (Thread client : clients) {
            client.join();
        }
        mRun.record()
                .add("%d answered; run but not answered: %s", mAnswered.get(), mLost);
        if (mAnswered.get() < 100) {
            throw new IllegalStateException("the deployment does not serve requests");
        }
        return mLost.isEmpty();
    }

    /** Stops a gateway as the platform does, and starts it again once it has ended. */
    private void restart(Gateway gateway) {
        try {
            mRun.record().add("SIGTERM to the gateway at port %d", gateway.front());
            long stoppedAt = System.nanoTime();
            gateway.terminate();
            while (gateway.isAlive()
                    && System.nanoTime() - stoppedAt
                            < TimeUnit.MILLISECONDS.toNanos(GRACE_MILLIS)) {
                Thread.sleep(5);
            }
            mRun.record()
                    .add(
                            "the gateway at port %d ended after %d ms, exit code %s",
                            gateway.front(),
                            (System.nanoTime() - stoppedAt) / 1_000_000,
                            gateway.isAlive() ? "none, killed" : "" + gateway.exitCode());
            gateway.kill();
            Thread.sleep(RESTART_MILLIS);
            gateway.start();
            mRun.record().add("the gateway at port %d is ready again", gateway.front());
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    /** Opens a stream that lasts for longer than the grace period of the gateway that it uses. */
    private void stream(int port, String id) {
        Map<String, String> headers =
                Client.headers(
                        "Authorization", "Bearer " + KEY,
                        Wire.name("model"), Worker.MODEL,
                        Wire.name("tokens"), "628," + EVENTS,
                        Wire.name("prefix"), "a1:198," + Integer.toHexString(id.hashCode()) + ":430");
        new Client(mRun.record())
                .send(port, id, "POST", "/note/" + id, 15_000, headers, "prompt".getBytes());
    }

    private void sendUntil(Directory directory, long start) {
        while (System.nanoTime() - start < TimeUnit.MILLISECONDS.toNanos(END_MILLIS)) {
            String id = "file-" + mNext.incrementAndGet();
            Map<String, String> headers = Client.headers("Authorization", "Bearer " + KEY);
            List<Integer> fronts = directory.fronts();
            int port = fronts.get(ThreadLocalRandom.current().nextInt(fronts.size()));
            Optional<Http.Message> answer =
                    new Client(mRun.record())
                            .send(
                                    port, id, "POST", "/file/" + id, 1_000, headers,
                                    "decision".getBytes());
            if (answer.filter(Http.Message::complete).isPresent()) {
                mAnswered.incrementAndGet();
            } else if (mRan.contains(id)) {
                mLost.add(id);
                mRun.record().add("request %s at port %d ran and has no answer", id, port);
            }
            try {
                Thread.sleep(ThreadLocalRandom.current().nextLong(MAX_PAUSE_MILLIS));
            } catch (InterruptedException e) {
                return;
            }
        }
    }
}
