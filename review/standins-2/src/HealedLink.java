import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Two of six machines are cut from the store for a time, four times. Shortly before each healing a
 * worker leaves: its entry is removed, and it goes on serving.
 *
 * <p>Checked is that no request reaches the worker from a machine that is in touch again, sent later
 * than the time to drain after the removal.
 */
public final class HealedLink {
    private static final int GATEWAYS = 6;
    private static final int CUT_GATEWAYS = 2;
    private static final int CYCLES = 4;
    private static final int TIMEOUT_MILLIS = 1_000;
    private static final long CUT_MILLIS = 8_000;
    private static final long REMOVED_BEFORE_HEALING_MILLIS = 400;
    private static final long DRAIN_NANOS = 2_000_000_000L;
    private static final long CONTACT_NANOS = 3_000_000_000L;

    /** What the check leaves to clocks and threads of the test. */
    private static final long MARGIN_NANOS = 100_000_000L;

    private final Case mRun;
    private final List<GatewayProcess> mGateways = new ArrayList<>();
    private final List<CutProxy> mProxies = new ArrayList<>();
    private final Map<String, String> mRanAt = new ConcurrentHashMap<>();
    private final AtomicInteger mServed = new AtomicInteger();
    private final AtomicInteger mLate = new AtomicInteger();
    private volatile String mRemoved = "";
    private volatile long mJudgedFrom = Long.MAX_VALUE;

    private HealedLink(Case run) throws Exception {
        mRun = run;
        for (int i = 0; i < CYCLES + 2; i++) {
            new Worker("w-" + i, "desk", "", this::work).register(run.store, "ready");
        }
        run.putConfig(1, Case.route("look", "/look/", "unsafe", "desk", TIMEOUT_MILLIS, 400, 1, ""));
        for (int i = 1; i <= GATEWAYS; i++) {
            CutProxy proxy = new CutProxy(run.store.address());
            mProxies.add(proxy);
            GatewayProcess gateway = new GatewayProcess("edge-" + i, run.folder, proxy.address());
            gateway.start();
            mGateways.add(gateway);
        }
        for (GatewayProcess gateway : mGateways) {
            gateway.awaitReady();
        }
    }

    private void work(Worker worker, Http.Message request, Socket socket, OutputStream out)
            throws IOException, InterruptedException {
        mRanAt.put(request.header(Names.of("request-id")), worker.id());
        Thread.sleep(20);
        worker.answer(request, out, "200 OK", "", new byte[100]);
    }

    public static void main(String[] args) throws Exception {
        Case run = Case.begin(args[0]);
        try {
            new HealedLink(run).play();
        } catch (Exception e) {
            run.end(Case.COULD_NOT_RUN, e.toString());
        }
    }

    private void play() throws Exception {
        Thread.sleep(8_000);
        for (int i = 0; i < CUT_GATEWAYS * 4; i++) {
            GatewayProcess gateway = mGateways.get(i % CUT_GATEWAYS);
            Store.daemon(() -> ask(gateway));
        }
        for (int cycle = 0; cycle < CYCLES; cycle++) {
            playCycle(cycle);
        }
        mRun.end(
                mLate.get() > 0 ? Case.BROKEN : mServed.get() > 1_000 ? Case.HELD : Case.COULD_NOT_RUN,
                "served " + mServed + ", at a worker that has left, later than allowed " + mLate);
    }

    private void playCycle(int cycle) throws Exception {
        Thread.sleep((long) (1_500 * Math.random()));
        for (int i = 0; i < CUT_GATEWAYS && Case.isTroubled(); i++) {
            mProxies.get(i).cut();
        }
        mRun.record("cut from the store: the first " + CUT_GATEWAYS + " machines");
        Thread.sleep(CUT_MILLIS - REMOVED_BEFORE_HEALING_MILLIS);
        mRemoved = "w-" + cycle;
        mRun.store.remove("servers", mRemoved);
        long removedAt = System.nanoTime();
        mRun.record("removed: " + mRemoved);
        Thread.sleep(REMOVED_BEFORE_HEALING_MILLIS);
        long healedAt = System.nanoTime();
        for (int i = 0; i < CUT_GATEWAYS && Case.isTroubled(); i++) {
            mProxies.get(i).heal();
        }
        mRun.record("healed");
        mJudgedFrom = Math.max(removedAt + DRAIN_NANOS, healedAt + CONTACT_NANOS) + MARGIN_NANOS;
        Thread.sleep(6_000);
        mJudgedFrom = Long.MAX_VALUE;
    }

    private void ask(GatewayProcess gateway) {
        Client client = null;
        while (true) {
            String id = Case.nextId();
            try {
                client = client == null ? new Client(gateway.front(), TIMEOUT_MILLIS) : client;
                long sentAt = System.nanoTime();
                client.send(Case.head("POST", "/look/x", id, TIMEOUT_MILLIS, 10, ""), new byte[10]);
                int status = client.receive().status();
                mServed.addAndGet(status == 200 ? 1 : 0);
                boolean late = sentAt - mJudgedFrom > 0 && mRemoved.equals(mRanAt.get(id));
                mLate.addAndGet(late ? 1 : 0);
                mRun.record(
                        "sent " + id + " to " + gateway.name() + ", run at "
                                + mRanAt.getOrDefault(id, "no worker") + ", answered " + status
                                + (late ? ", LATE" : ""));
                Thread.sleep(10);
            } catch (IOException | InterruptedException e) {
                mRun.record("failed " + id + " at " + gateway.name() + ": " + e);
                client = null;
            }
        }
    }
}
