package org.catkinproxy.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * The HTTP server that all stand-ins share, with the faults that concern whole calls.
 *
 * <p>Calls are handled at the same time by threads of a pool, so subclasses guard their state. The
 * port stays the same for the life of the stand-in, also when connections are refused for a while.
 */
public abstract class StandinServer implements AutoCloseable {
    private static final Logger LOG = LogManager.getLogger(StandinServer.class);
    private static final int BACKLOG = 1_024;
    private static final long IDLE_NANOS = Duration.ofSeconds(3).toNanos();

    static {
        // Read by the JDK's server when its class is loaded; without it small events are held back.
        System.setProperty("sun.net.httpserver.nodelay", "true");
    }

    private final Faults mFaults = new Faults();
    private final CountDownLatch mClosed = new CountDownLatch(1);
    private final ExecutorService mThreads = Executors.newCachedThreadPool(StandinServer::daemon);
    private final ScheduledExecutorService mTimer =
            Executors.newScheduledThreadPool(2, StandinServer::daemon);
    private final Map<InetSocketAddress, Long> mLastUseNanos = new ConcurrentHashMap<>();
    private final Set<InetSocketAddress> mInUse = ConcurrentHashMap.newKeySet();
    private final Set<InetSocketAddress> mSilenced = ConcurrentHashMap.newKeySet();
    private final int mPort;
    private volatile long mFrozenUntilNanos = System.nanoTime();
    private HttpServer mServer;

    /** Opens the port, 0 for any free one; calls are answered after {@link #serve}. */
    protected StandinServer(int port) {
        mServer = bind(port);
        mPort = mServer.getAddress().getPort();
    }

    /** Begins to answer calls. Subclasses call it at the end of their construction. */
    protected final synchronized void serve() {
        mServer.start();
    }

    /** Answers one call. */
    protected abstract void handle(Call call) throws IOException;

    /** Returns what {@code GET /admin/log} shows. */
    protected abstract JsonNode log();

    /**
     * Begins a fault that is an action of its own rather than a change of later calls.
     *
     * @return whether it was one
     */
    protected boolean act(Fault fault) {
        return false;
    }

    /** Returns the port. */
    public final int port() {
        return mPort;
    }

    /** Returns the IP number and port. */
    public final String address() {
        return "127.0.0.1:" + mPort;
    }

    /** Returns the address as a URL without a path. */
    public final String url() {
        return "http://" + address();
    }

    /** Begins a fault, as {@code POST /admin/fault} does. */
    public final void fault(Fault fault) {
        switch (fault.name()) {
            case "silence" -> silence();
            case "refuse" -> refuse(fault.delay());
            case "freeze" -> mFrozenUntilNanos = System.nanoTime() + fault.delay().toNanos();
            default -> {
                if (!act(fault)) {
                    mFaults.add(fault);
                }
            }
        }
    }

    /** Ends all faults but the silence of connections, which is for good. */
    public final void clearFaults() {
        mFaults.clear();
        mFrozenUntilNanos = System.nanoTime();
    }

    /** Returns the faults that change later calls. */
    protected final Faults faults() {
        return mFaults;
    }

    /** Returns the timer for what happens later; its threads are not to be blocked. */
    protected final ScheduledExecutorService timer() {
        return mTimer;
    }

    /** Returns the threads for work that may block. */
    protected final ExecutorService threads() {
        return mThreads;
    }

    /** Waits while the stand-in is frozen. */
    protected final void awaitThaw() {
        long left = mFrozenUntilNanos - System.nanoTime();
        while (left > 0) {
            sleep(Duration.ofNanos(left));
            left = mFrozenUntilNanos - System.nanoTime();
        }
    }

    /** Waits until the stand-in is closed, as a call does that is never answered. */
    public final void awaitClose() {
        try {
            mClosed.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Tells whether the call's connection has gone silent for good. */
    protected final boolean isSilent(Call call) {
        return mSilenced.contains(call.remote());
    }

    /** Waits for {@code time}, less if the stand-in is closed. */
    protected final void sleep(Duration time) {
        try {
            if (mClosed.await(time.toNanos(), TimeUnit.NANOSECONDS)) {
                throw new StandinClosedException();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new StandinClosedException();
        }
    }

    @Override
    public void close() {
        mClosed.countDown();
        synchronized (this) {
            mServer.stop(0);
        }
        mTimer.shutdownNow();
        mThreads.shutdownNow();
    }

    private HttpServer bind(int port) {
        try {
            InetAddress loopback = InetAddress.getByAddress(new byte[] {127, 0, 0, 1});
            HttpServer server = HttpServer.create(new InetSocketAddress(loopback, port), BACKLOG);
            server.setExecutor(mThreads);
            server.createContext("/", this::handleExchange);
            return server;
        } catch (IOException e) {
            throw new UncheckedIOException("can not listen on port " + port, e);
        }
    }

    private void handleExchange(HttpExchange exchange) throws IOException {
        InetSocketAddress remote = exchange.getRemoteAddress();
        mInUse.add(remote);
        try {
            Call call = Call.read(exchange);
            if (call.path().startsWith("/admin/")) {
                handleAdmin(call);
            } else {
                handleWithFaults(call);
            }
        } catch (StandinClosedException e) {
            exchange.close();
        } catch (RuntimeException e) {
            LOG.warn("call of {} failed", exchange.getRequestURI(), e);
            exchange.close();
        } finally {
            mLastUseNanos.put(remote, System.nanoTime());
            mInUse.remove(remote);
        }
    }

    private void handleWithFaults(Call call) throws IOException {
        String path = call.path();
        if (isSilent(call) || mFaults.take("blackhole", path).isPresent()) {
            awaitClose();
            return;
        }
        awaitThaw();
        mFaults.take("slow", path).ifPresent(f -> sleep(f.delay()));
        if (mFaults.take("outage", path).isPresent()) {
            call.error(503, "outage", "told to be down");
            return;
        }
        try {
            handle(call);
        } catch (IllegalArgumentException e) {
            call.error(400, "malformed_body", String.valueOf(e.getMessage()));
        }
    }

    private void handleAdmin(Call call) throws IOException {
        switch (call.method() + " " + call.path()) {
            case "POST /admin/fault" -> {
                Fault fault = Fault.of(call.json());
                call.answer(204);
                fault(fault);
            }
            case "POST /admin/clear" -> {
                clearFaults();
                call.answer(204);
            }
            case "GET /admin/log" -> call.answer(200, log());
            default -> call.error(404, "not_found", call.path());
        }
    }

    /**
     * Silences the connections that carry a call, and those that lie idle between two calls.
     *
     * <p>A connection is known by the client's port, which is used again after a while; so one that
     * was not used lately is taken as closed.
     */
    private void silence() {
        long now = System.nanoTime();
        mLastUseNanos.values().removeIf(used -> now - used > IDLE_NANOS);
        mSilenced.addAll(mLastUseNanos.keySet());
        mSilenced.addAll(mInUse);
    }

    private synchronized void refuse(Duration time) {
        mServer.stop(0);
        mTimer.schedule(this::listenAgain, time.toMillis(), TimeUnit.MILLISECONDS);
    }

    private synchronized void listenAgain() {
        if (mClosed.getCount() > 0) {
            mServer = bind(mPort);
            mServer.start();
        }
    }

    private static Thread daemon(Runnable work) {
        Thread thread = new Thread(work, "standin");
        thread.setDaemon(true);
        return thread;
    }

    /** Returns the first fault of those named that shows in a call of {@code path}. */
    protected final Optional<Fault> takeFault(String name, Call call) {
        return mFaults.take(name, call.path());
    }
}
