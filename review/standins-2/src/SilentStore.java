import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Two versions of the configuration take a key away each, half a second apart. Between them the open
 * connections of all gateways to the store go silent, while new ones work.
 *
 * <p>Checked is that no request with the second key runs that was sent later than the time to converge
 * after the acknowledgement, at a gateway that is in touch again.
 */
public final class SilentStore {
    private static final int GATEWAYS = 6;
    private static final int TIMEOUT_MILLIS = 1_000;
    private static final int BETWEEN_MILLIS = 50;
    private static final long CONVERGE_NANOS = 2_000_000_000L;
    private static final long CONTACT_NANOS = 3_000_000_000L;

    /** What the check leaves to clocks and threads of the test. */
    private static final long MARGIN_NANOS = 100_000_000L;

    private static final String OTHER_KEY = "key-2";

    private final Case mRun;
    private final List<GatewayProcess> mGateways = new ArrayList<>();
    private final Map<String, String> mRanAt = new ConcurrentHashMap<>();
    private final AtomicInteger mServed = new AtomicInteger();
    private final AtomicInteger mRefused = new AtomicInteger();
    private final AtomicInteger mLate = new AtomicInteger();
    private volatile long mJudgedFrom = Long.MAX_VALUE;

    private SilentStore(Case run, Proxy proxy) throws Exception {
        mRun = run;
        for (int i = 0; i < 3; i++) {
            new Worker("w-" + i, "desk", "", this::work).register(run.store, "ready");
        }
        putConfig(1, List.of(Case.KEY, OTHER_KEY, "key-3"));
        for (int i = 1; i <= GATEWAYS; i++) {
            GatewayProcess gateway =
                    new GatewayProcess("edge-" + i, run.folder, proxy.address());
            gateway.start();
            mGateways.add(gateway);
        }
        for (GatewayProcess gateway : mGateways) {
            gateway.awaitReady();
        }
    }

    private void putConfig(int version, List<String> keys) {
        mRun.putConfig(
                version,
                Case.route("look", "/look/", "safe", "desk", TIMEOUT_MILLIS, 400, 2, ""),
                "{\"name\":\"tenant-1\",\"api-keys\":[\"" + String.join("\",\"", keys) + "\"],\"isolated\":false}");
        mRun.record("acknowledged: version " + version + " with " + keys);
    }

    private void work(Worker worker, Http.Message request, Socket socket, OutputStream out)
            throws IOException, InterruptedException {
        mRanAt.put(request.header(Names.of("request-id")), worker.id());
        worker.answer(request, out, "200 OK", "", new byte[100]);
    }

    public static void main(String[] args) throws Exception {
        Case run = Case.begin(args[0]);
        try {
            Proxy proxy = new Proxy(run.store.address());
            new SilentStore(run, proxy).play(proxy);
        } catch (Exception e) {
            run.end(Case.COULD_NOT_RUN, e.toString());
        }
    }

    private void play(Proxy proxy) throws Exception {
        Thread.sleep(8_000); // The gateways know each other, and are in touch.
        long end = System.nanoTime() + 14_000_000_000L;
        List<Thread> threads = new ArrayList<>();
        for (GatewayProcess gateway : mGateways) {
            Thread thread = new Thread(() -> ask(gateway, end));
            thread.start();
            threads.add(thread);
        }
        Thread.sleep(2_000);
        putConfig(2, List.of(Case.KEY, OTHER_KEY));
        Thread.sleep(200);
        long silentAt = System.nanoTime();
        if (Case.isTroubled()) {
            mRun.record("silent: " + proxy.silence() + " connections to the store");
        }
        Thread.sleep(300);
        putConfig(3, List.of(Case.KEY));
        mJudgedFrom =
                Math.max(System.nanoTime() + CONVERGE_NANOS, silentAt + CONTACT_NANOS) + MARGIN_NANOS;
        for (Thread thread : threads) {
            thread.join();
        }
        if (mServed.get() < 100 || mRefused.get() == 0) {
            mRun.end(Case.COULD_NOT_RUN, "served " + mServed + ", refused " + mRefused);
        }
        mRun.end(
                mLate.get() > 0 ? Case.BROKEN : Case.HELD,
                "served " + mServed + ", refused for their key " + mRefused
                        + ", run with the key that was taken away, later than allowed " + mLate);
    }

    private void ask(GatewayProcess gateway, long end) {
        while (System.nanoTime() < end) {
            String id = Case.nextId();
            long sentAt = System.nanoTime();
            try (Client client = new Client(gateway.front(), TIMEOUT_MILLIS)) {
                sentAt = System.nanoTime();
                client.send(
                        Case.head("GET", "/look/x", id, TIMEOUT_MILLIS, 0, "", OTHER_KEY),
                        new byte[0]);
                int status = client.receive().status();
                boolean late = mRanAt.containsKey(id) && sentAt - mJudgedFrom > 0;
                mRun.record(
                        "sent " + id + " to " + gateway.name() + ", run at "
                                + mRanAt.getOrDefault(id, "no worker") + ", answered " + status
                                + (late ? ", LATE" : ""));
                mServed.addAndGet(status == 200 ? 1 : 0);
                mRefused.addAndGet(status == 401 ? 1 : 0);
                mLate.addAndGet(late ? 1 : 0);
                Thread.sleep(BETWEEN_MILLIS);
            } catch (IOException | InterruptedException e) {
                mRun.record("failed " + id + " at " + gateway.name() + ": " + e);
            }
        }
    }
}
