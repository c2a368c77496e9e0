import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/** The only gateway of a deployment is stopped while clients go on sending. */
final class StopUnderLoad {
    private static final String KEY = "key-of-the-portal";
    private static final int CLIENTS = 16;
    private static final long WORK_MILLIS = 150;
    private static final long MAX_PAUSE_MILLIS = 80;
    private static final long BEFORE_STOP_MILLIS = 3_000;
    private static final long GRACE_MILLIS = 8_000;

    private StopUnderLoad() {}

    public static void main(String[] args) {
        Case.main("5", StopUnderLoad::run);
    }

    private static boolean run(Case run) throws Exception {
        Set<String> ran = ConcurrentHashMap.newKeySet();
        Worker.Work work =
                (worker, request, out, socket) -> {
                    ran.add(request.field("request-id").orElse("-"));
                    Worker.after(WORK_MILLIS).run(worker, request, out, socket);
                };
        for (int i = 1; i <= 3; i++) {
            Worker.plain(run.store(), run.record(), "desk-" + i, "desk", work);
        }
        run.store().put("op", "config", Config.of(1, "\"" + KEY + "\""));
        Gateway gateway = run.gateway("edge-1").start();
        Thread.sleep(1_000);
        Directory directory = new Directory(run.record(), gateway);
        AtomicInteger next = new AtomicInteger();
        Set<String> lost = ConcurrentHashMap.newKeySet();
        AtomicInteger answered = new AtomicInteger();
        long end = System.nanoTime() + (BEFORE_STOP_MILLIS + GRACE_MILLIS + 4_000) * 1_000_000;
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            clients.add(
                    Server.daemon(() -> sendUntil(run, directory, end, next, ran, lost, answered)));
        }
        Thread.sleep(BEFORE_STOP_MILLIS);
        if (Case.hasTrouble()) {
            run.record().add("SIGTERM to edge-1");
            long stoppedAt = System.nanoTime();
            gateway.terminate();
            while (gateway.isAlive() && System.nanoTime() - stoppedAt < GRACE_MILLIS * 1_000_000) {
                Thread.sleep(10);
            }
            run.record()
                    .add(
                            "edge-1 ended after %d ms, exit code %s",
                            (System.nanoTime() - stoppedAt) / 1_000_000,
                            gateway.isAlive() ? "none, killed" : "" + gateway.exitCode());
            gateway.kill();
            gateway.startWithoutWaiting();
        }
        for (Thread client : clients) {
            client.join();
        }
        run.record().add("%d answered, run but not answered: %s", answered.get(), lost);
        if (answered.get() < 100) {
            throw new IllegalStateException("the deployment does not serve requests");
        }
        return lost.isEmpty();
    }

    /** Sends one request after the other, each to an address of the newest directory response. */
    private static void sendUntil(
            Case run,
            Directory directory,
            long end,
            AtomicInteger next,
            Set<String> ran,
            Set<String> lost,
            AtomicInteger answered) {
        while (System.nanoTime() < end) {
            String id = "file-" + next.incrementAndGet();
            Map<String, String> headers = Client.headers("Authorization", "Bearer " + KEY);
            Optional<Http.Message> answer =
                    new Client(run.record())
                            .send(
                                    directory.front(), id, "POST", "/file/" + id, 1_000, headers,
                                    "decision".getBytes());
            if (answer.filter(Http.Message::complete).isPresent()) {
                answered.incrementAndGet();
            } else if (ran.contains(id)) {
                lost.add(id);
            }
            try {
                Thread.sleep(ThreadLocalRandom.current().nextLong(MAX_PAUSE_MILLIS));
            } catch (InterruptedException e) {
                return;
            }
        }
    }
}
