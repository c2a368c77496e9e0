import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Model workers are full by turns and reject requests as not run. Half of them send a second copy of
 * some of their rejections, late: when the next request comes on the connection.
 */
final class LateRejection {
    private static final int SERVICES = 5;
    private static final int WORKERS_PER_SERVICE = 4;
    private static final int FAULTY_WORKERS_PER_SERVICE = 2;

    /** The share of its answers of which a faulty worker sends a second copy. */
    private static final double COPIED_SHARE = 0.03;

    /** Callers of other gateways fill all workers for the first part of each period. */
    private static final long PERIOD_MILLIS = 600;

    private static final long FULL_MILLIS = 300;
    private static final long PAUSE_MILLIS = 700;
    private static final long DURATION_MILLIS = 95_000;
    private static final int EVENTS = 6;
    private static final String KEY = "key-of-the-portal";

    private final Case mRun;
    private final long mStart = System.nanoTime();
    private final Map<String, List<String>> mRuns = new ConcurrentHashMap<>();
    private final Map<Socket, byte[]> mCopies = new ConcurrentHashMap<>();
    private final Set<String> mRefused = ConcurrentHashMap.newKeySet();
    private final AtomicInteger mAnswered = new AtomicInteger();

    private LateRejection(Case run) {
        mRun = run;
    }

    public static void main(String[] args) {
        Case.main("4", run -> new LateRejection(run).run());
    }

    private boolean run() throws Exception {
        for (int service = 1; service <= SERVICES; service++) {
            for (int i = 1; i <= WORKERS_PER_SERVICE; i++) {
                String id = "model-" + service + "-" + i;
                boolean faulty = Case.hasTrouble() && i <= FAULTY_WORKERS_PER_SERVICE;
                Worker.engine(
                        mRun.store(),
                        mRun.record(),
                        id,
                        "models-" + service,
                        (worker, request, out, socket) ->
                                answer(worker, request, out, socket, faulty));
            }
        }
        mRun.store().put("op", "config", desiredState());
        mRun.store().put("op", "version/m0", "{\"model\":\"m0\",\"version\":1}");
        Gateway gateway = mRun.gateway("edge-1").start();
        Thread.sleep(1_000);
        List<Thread> clients = new ArrayList<>();
        for (int service = 1; service <= SERVICES; service++) {
            String prefix = "/note-" + service + "/";
            clients.add(Server.daemon(() -> sendAll(gateway, prefix)));
        }
        for (Thread client : clients) {
            client.join();
        }
        int twice = 0;
        for (Map.Entry<String, List<String>> entry : mRuns.entrySet()) {
            if (entry.getValue().size() > 1) {
                twice++;
                mRun.record().add("request %s ran at %s", entry.getKey(), entry.getValue());
            }
        }
        mRefused.retainAll(mRuns.keySet());
        mRun.record()
                .add(
                        "%d answered, %d ran more than once, refused though they ran: %s",
                        mAnswered.get(), twice, mRefused);
        if (mAnswered.get() < 100) {
            throw new IllegalStateException("the deployment does not serve streams");
        }
        return twice == 0 && mRefused.isEmpty();
    }

    private static String desiredState() {
        StringBuilder routes = new StringBuilder();
        StringBuilder services = new StringBuilder();
        for (int service = 1; service <= SERVICES; service++) {
            routes.append(service == 1 ? "" : ",")
                    .append(
                            """
                            {"name":"note-%d","host":"h","prefix":"/note-%d/","kind":"stream",
                             "timeout-ms":15000,"goal-ms":300,"priority":0,"service":"models-%d",
                             "attempts":1,"sticky":true,"resumable":false,"gap-target-ms":250}
                            """
                                    .formatted(service, service, service));
            services.append(service == 1 ? "" : ",")
                    .append(
                            """
                            {"name":"models-%d","health-path":"/healthz","max-conns":360,
                             "protocol":"h1",
                             "engine":{"slots":64,"kv-capacity":106752,"kv-token-bytes":163840,
                                       "link-mbps":180000.0,"max-inflight":12}}
                            """
                                    .formatted(service));
        }
        return """
                {"version":1,"routes":[%s],"services":[%s],
                 "limits":{"max-header-bytes":16384,"max-body-bytes":4194304,
                           "header-timeout-ms":3000,"idle-timeout-ms":15000},
                 "tenants":[{"name":"coatings","api-keys":["%s"],"priority":3}]}
                """
                .formatted(routes, services, KEY);
    }

    private boolean isFull() {
        return (System.nanoTime() - mStart) / 1_000_000 % PERIOD_MILLIS < FULL_MILLIS;
    }

    private void answer(
            Worker worker, Http.Message request, OutputStream out, Socket socket, boolean faulty)
            throws Exception {
        String id = request.field("request-id").orElse("-");
        byte[] copy = mCopies.remove(socket);
        if (copy != null) {
            mRun.record().add("%s  sends its second copy of a rejection", worker.id());
            out.write(copy);
        }
        boolean copies = faulty && ThreadLocalRandom.current().nextDouble() < COPIED_SHARE;
        if (isFull()) {
            Map<String, String> headers = worker.answerHeaders(request);
            headers.remove(Wire.name("seal"));
            headers.put(Wire.name("not-run"), "1");
            byte[] rejection = Http.response(503, headers, new byte[0]);
            mRun.record().add("%s  is full, rejects request %s", worker.id(), id);
            out.write(rejection);
            if (copies) {
                mCopies.put(socket, rejection);
            }
            return;
        }
        mRuns.computeIfAbsent(id, k -> new CopyOnWriteArrayList<>())
                .add(worker.id());
        mRun.record().add("%s  BEGINS request %s", worker.id(), id);
        out.write(worker.streamHead(request));
        for (int event = 1; event <= EVENTS; event++) {
            out.write(Worker.event(event));
            Thread.sleep(20);
        }
        out.write(Worker.lastChunk());
    }

    private void sendAll(Gateway gateway, String prefix) {
        long end = System.nanoTime() + DURATION_MILLIS * 1_000_000;
        for (int number = 1; System.nanoTime() < end; number++) {
            String id = prefix.replace("/", "") + "-" + number;
            Map<String, String> headers =
                    Client.headers(
                            "Authorization", "Bearer " + KEY,
                            Wire.name("model"), Worker.MODEL,
                            Wire.name("tokens"), "628,73",
                            Wire.name("prefix"),
                                    "a" + number % 9 + ":198," + Integer.toHexString(9_000 + number) + ":430");
            Optional<Http.Message> answer =
                    new Client(mRun.record())
                            .send(
                                    gateway.front(), id, "POST", prefix + number, 15_000, headers,
                                    "prompt".getBytes());
            if (answer.filter(a -> a.status() == 200 && a.complete()).isPresent()) {
                mAnswered.incrementAndGet();
            }
            if (answer.filter(a -> a.status() == 503).isPresent()) {
                mRefused.add(id);
            }
            try {
                Thread.sleep(PAUSE_MILLIS);
            } catch (InterruptedException e) {
                return;
            }
        }
    }
}
