import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A new version of the configuration isolates a tenant whose requests have left parts of prompts in
 * the workers' caches.
 *
 * <p>Checked is, once the version has to be in force, that no request of another tenant uses a part
 * that a request of the isolated tenant made, or the other way round.
 */
public final class IsolatedTenant {
    private static final String ISOLATED = "tenant-a";
    private static final String[] TENANTS = {ISOLATED, "tenant-b", "tenant-c"};

    /** Part that the prompts of all tenants begin with, and its length in tokens. */
    private static final String SHARED_PART = "5c1e07a2";

    private static final int SHARED_TOKENS = 2_520;
    private static final int TIMEOUT_MILLIS = 6_000;
    private static final long CONVERGE_MILLIS = 2_000;

    private final Case mRun;
    private final List<GatewayProcess> mGateways = new ArrayList<>();
    private final AtomicInteger mServed = new AtomicInteger();
    private final AtomicInteger mReused = new AtomicInteger();
    private final AtomicInteger mCrossed = new AtomicInteger();
    private volatile boolean mInForce;

    /** The tenant that made each cached part, by worker, salt and part. */
    private final Map<String, String> mMakers = new HashMap<>();

    private IsolatedTenant(Case run) throws Exception {
        mRun = run;
        String models = "[{\"name\":\"m0\",\"version\":1,\"adapters\":[]}]";
        for (int i = 0; i < 2; i++) {
            new Worker("w-" + i, "llm", models, this::work).register(run.store, "ready");
        }
        putConfig(1, false);
        run.store.put("op", "version/m0", "{\"model\":\"m0\",\"version\":1}");
        for (int i = 1; i <= 2; i++) {
            GatewayProcess gateway = new GatewayProcess("edge-" + i, run.folder, run.store);
            gateway.start();
            mGateways.add(gateway);
        }
        for (GatewayProcess gateway : mGateways) {
            gateway.awaitReady();
        }
    }

    private void putConfig(int version, boolean isolated) {
        StringBuilder tenants = new StringBuilder();
        for (String tenant : TENANTS) {
            tenants.append(tenants.length() == 0 ? "" : ",")
                    .append("{\"name\":\"").append(tenant)
                    .append("\",\"api-keys\":[\"key-of-").append(tenant)
                    .append("\"],\"isolated\":").append(isolated && tenant.equals(ISOLATED))
                    .append('}');
        }
        mRun.putConfig(
                version,
                Case.route(
                        "check", "/check/", "stream", "llm", TIMEOUT_MILLIS, 600, 2,
                        ",\"sticky\":true,\"resumable\":true,\"gap-target-ms\":250"),
                tenants.toString());
        mRun.record("version " + version + ", " + ISOLATED + " isolated: " + isolated);
    }

    private void work(Worker worker, Http.Message request, Socket socket, OutputStream out)
            throws IOException, InterruptedException {
        if (request.target().startsWith(Names.of("kv-events"))) {
            Thread.sleep(500);
            byte[] none =
                    "{\"boot-epoch\":1,\"next\":1,\"lost\":false,\"events\":[]}"
                            .getBytes(StandardCharsets.UTF_8);
            worker.answer(request, out, "200 OK", "Content-Type: application/json\r\n", none);
            return;
        }
        String id = request.header(Names.of("request-id"));
        useCache(worker, id, request.header(Names.of("tenant")), request.header(Names.of("salt")));
        String event = "id: 1\ndata: done\n\n";
        Http.write(
                out,
                "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                        + Names.of("request-id") + ": " + id + "\r\n"
                        + Names.of("seal") + ": s." + id + "\r\n"
                        + Names.of("weights") + ": 1\r\nContent-Length: " + event.length()
                        + "\r\n\r\n",
                event.getBytes(StandardCharsets.US_ASCII));
    }

    /** Finds the shared part under the request's salt, or makes it. */
    private synchronized void useCache(Worker worker, String id, String tenant, String salt) {
        String key = worker.id() + " " + salt + " " + SHARED_PART;
        String maker = mMakers.putIfAbsent(key, tenant);
        mRun.record(
                "run " + id + " of " + tenant + " at " + worker.id() + ", salt " + salt + ", part "
                        + (maker == null ? "made" : "made by " + maker));
        if (maker == null) {
            return;
        }
        mReused.incrementAndGet();
        boolean crosses = !maker.equals(tenant);
        boolean oneIsIsolated = tenant.equals(ISOLATED) || maker.equals(ISOLATED);
        if (mInForce && crosses && oneIsIsolated) {
            mCrossed.incrementAndGet();
            mRun.record("crossed: " + id + " of " + tenant + " used what " + maker + " made");
        }
    }

    public static void main(String[] args) throws Exception {
        Case run = Case.begin(args[0]);
        try {
            new IsolatedTenant(run).play();
        } catch (Exception e) {
            run.end(Case.COULD_NOT_RUN, e.toString());
        }
    }

    private void play() throws Exception {
        Thread.sleep(4_000);
        // The isolated tenant comes first, so that it makes the shared part.
        send(ISOLATED, 12);
        send("tenant-b", 6);
        send("tenant-c", 6);
        if (Case.isTroubled()) {
            putConfig(2, true);
        }
        Thread.sleep(CONVERGE_MILLIS + 1_500);
        mInForce = Case.isTroubled();
        for (int i = 0; i < 5; i++) {
            send("tenant-b", 4);
            send(ISOLATED, 4);
            send("tenant-c", 4);
        }
        if (mServed.get() < 60) {
            mRun.end(Case.COULD_NOT_RUN, "only " + mServed + " requests were served");
        }
        mRun.end(
                mCrossed.get() > 0 ? Case.BROKEN : Case.HELD,
                "requests served " + mServed + ", reuses of the shared part " + mReused
                        + ", of these across the wall of " + ISOLATED + " " + mCrossed);
    }

    private void send(String tenant, int count) throws Exception {
        for (int i = 0; i < count; i++) {
            String id = Case.nextId();
            String prompt =
                    Names.of("model") + ": m0\r\n"
                            + Names.of("tokens") + ": " + (SHARED_TOKENS + 250) + ",13\r\n"
                            + Names.of("prefix") + ": " + SHARED_PART + ":" + SHARED_TOKENS + ","
                            + Integer.toHexString(0x10000000 + id.hashCode()) + ":250\r\n";
            GatewayProcess gateway = mGateways.get(i % mGateways.size());
            try (Client client = new Client(gateway.front(), TIMEOUT_MILLIS)) {
                client.send(
                        Case.head("POST", "/check/x", id, TIMEOUT_MILLIS, 100, prompt, "key-of-" + tenant),
                        new byte[100]);
                int status = client.receive().status();
                mRun.record("answer to " + id + " of " + tenant + " " + status);
                if (status == 200) {
                    mServed.incrementAndGet();
                }
            }
            Thread.sleep(60);
        }
    }
}
