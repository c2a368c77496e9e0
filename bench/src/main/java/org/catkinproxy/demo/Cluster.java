package org.catkinproxy.demo;

import com.fasterxml.jackson.databind.node.ObjectNode;

import okhttp3.OkHttpClient;
import okhttp3.Request;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * Stand-ins and daemons as processes of their own, listed in the stand-in's instance list.
 *
 * <p>Closing ends every process that was started. The list of members does not change after {@link
 * #start}; members are safe for use by any thread.
 */
public final class Cluster implements AutoCloseable {
    private static final String STANDIN = "org.catkinproxy.standin.StandinMain";
    private static final String DAEMON = "org.catkinproxy.daemon.DaemonMain";
    private static final String STANDIN_HEAP = "128m";
    private static final String DAEMON_HEAP = "192m";
    private static final Duration START_LIMIT = Duration.ofSeconds(40);
    private static final Duration POLL = Duration.ofMillis(50);

    private final ClusterOptions mOptions;
    private final Ports mPorts;
    private final OkHttpClient mHttp = Web.bounded(Duration.ofSeconds(2));
    private final List<Member> mEngines = new ArrayList<>();
    private final List<Member> mServices = new ArrayList<>();
    private final List<Member> mDaemons = new ArrayList<>();
    private Member mPlatform;

    private Cluster(ClusterOptions options) {
        mOptions = options;
        mPorts = new Ports(options.basePort());
    }

    /** Describes a cluster; {@link #start} starts it. */
    public static Cluster create(ClusterOptions options) {
        return new Cluster(options);
    }

    /** Starts all processes, lists them, and waits until they answer. */
    public void start() {
        mPlatform = startPlatform();
        int number = 1;
        for (EngineSpec spec : mOptions.engines()) {
            mEngines.add(startEngine("engine-" + number++, spec));
        }
        for (int i = 1; i <= mOptions.services(); i++) {
            mServices.add(startService("service-" + i));
        }
        mEngines.forEach(m -> await(m.id(), () -> isListening(m, "/v1/load")));
        mServices.forEach(m -> await(m.id(), () -> isListening(m, "/admin/log")));
        for (int i = 1; i <= mOptions.daemons(); i++) {
            mDaemons.add(startDaemon("entry-" + i));
        }
        mEngines.forEach(m -> list(m, "live"));
        mServices.forEach(m -> list(m, "live"));
        mDaemons.forEach(m -> list(m, "live"));
        mDaemons.forEach(m -> await(m.id(), () -> isListening(m, "/health")));
    }

    /** Returns the platform. */
    public Member platform() {
        return mPlatform;
    }

    /** Returns the engines. */
    public List<Member> engines() {
        return List.copyOf(mEngines);
    }

    /** Returns the instances of the plain service. */
    public List<Member> services() {
        return List.copyOf(mServices);
    }

    /** Returns the daemons. */
    public List<Member> daemons() {
        return List.copyOf(mDaemons);
    }

    /** Returns the directory of settings and logs. */
    public Path directory() {
        return mOptions.directory();
    }

    /** Writes a member into the platform's list, {@code live} or {@code leaving}, once it can. */
    public void list(Member member, String state) {
        ObjectNode body = Web.JSON.createObjectNode();
        body.put("kind", member.kind()).put("address", member.address());
        body.put("peerAddress", member.peers()).put("dataCentre", "dc-1");
        body.put("state", state).put("weight", 1);
        Request request =
                new Request.Builder()
                        .url(mPlatform.url() + "/instances/" + member.id())
                        .put(Web.json(body))
                        .build();
        await("the list to take " + member.id(), () -> isSent(request));
    }

    /** Tells a stand-in to show a fault; the body is that of {@code POST /admin/fault}. */
    public void fault(Member member, ObjectNode fault) {
        admin(member, "/admin/fault", fault);
    }

    /** Ends the faults of a stand-in. */
    public void clearFaults(Member member) {
        admin(member, "/admin/clear", Web.JSON.createObjectNode());
    }

    /** Waits until a daemon takes requests, at most as long as a start may take. */
    public void awaitReady(Member daemon) {
        await(daemon.id() + " to be ready", () -> isListening(daemon, "/ready"));
    }

    /** Tells whether a GET of {@code path} is answered with success. */
    public boolean isListening(Member member, String path) {
        return isSent(new Request.Builder().url(member.url() + path).build());
    }

    /** Waits until a condition holds. */
    public static void await(String what, BooleanSupplier condition) {
        long end = System.nanoTime() + START_LIMIT.toNanos();
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() - end > 0) {
                throw new IllegalStateException("waited in vain for " + what);
            }
            sleep(POLL);
        }
    }

    /** Waits for {@code time}. */
    public static void sleep(Duration time) {
        try {
            Thread.sleep(time.toMillis());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted", e);
        }
    }

    @Override
    public void close() {
        List<Member> all = new ArrayList<>(mDaemons);
        all.addAll(mEngines);
        all.addAll(mServices);
        if (mPlatform != null) {
            all.add(mPlatform);
        }
        all.parallelStream().forEach(m -> m.process().kill());
    }

    private Member startPlatform() {
        String address = nextAddress();
        List<String> arguments =
                List.of(
                        "platform",
                        "--listen",
                        address,
                        "--list-lag-ms",
                        Integer.toString(mOptions.listLagMs()));
        Member member = standin("platform", "platform", address, "", arguments);
        await("the platform", () -> isListening(member, "/instances"));
        return member;
    }

    private Member startEngine(String id, EngineSpec spec) {
        String address = nextAddress();
        List<String> arguments =
                new ArrayList<>(
                        List.of(
                                "engine",
                                "--listen",
                                address,
                                "--platform",
                                mPlatform.url(),
                                "--weights",
                                preloadedWeights(),
                                "--slots",
                                Integer.toString(spec.slots()),
                                "--cache-blocks",
                                Integer.toString(spec.cacheBlocks()),
                                "--prefill",
                                Integer.toString(spec.prefill()),
                                "--decode",
                                Integer.toString(spec.decode())));
        if (spec.checksFencing()) {
            arguments.add("--check-fencing");
        }
        return standin(id, "engine", address, spec.pool(), arguments);
    }

    private String preloadedWeights() {
        return IntStream.rangeClosed(1, mOptions.preloaded())
                .mapToObj(v -> DemoSheet.MODEL + "/" + DemoSheet.ADAPTER + "/v" + v)
                .collect(Collectors.joining(","));
    }

    private Member startService(String id) {
        String address = nextAddress();
        return standin(id, "service", address, "desk", List.of("service", "--listen", address));
    }

    private Member standin(
            String id, String kind, String address, String pool, List<String> arguments) {
        ManagedProcess process =
                ManagedProcess.java(id, STANDIN_HEAP, STANDIN, arguments, logOf(id));
        process.start();
        return new Member(id, kind, address, "", "", pool, process);
    }

    private Member startDaemon(String id) {
        String callers = nextAddress();
        String operators = nextAddress();
        String peers = nextAddress();
        Path settings = mOptions.directory().resolve(id + ".toml");
        try {
            Files.writeString(
                    settings, DemoSettings.toml(id, callers, operators, peers, mPlatform.url()));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        List<String> arguments = List.of("--settings", settings.toString());
        ManagedProcess process = ManagedProcess.java(id, DAEMON_HEAP, DAEMON, arguments, logOf(id));
        process.start();
        return new Member(id, "entry", callers, operators, peers, "", process);
    }

    private String nextAddress() {
        return "127.0.0.1:" + mPorts.take();
    }

    private Path logOf(String id) {
        return mOptions.directory().resolve(id + ".log");
    }

    private void admin(Member member, String path, ObjectNode body) {
        Request request =
                new Request.Builder().url(member.url() + path).post(Web.json(body)).build();
        sendChecked(request, member.id());
    }

    private boolean isSent(Request request) {
        try {
            return Web.send(mHttp, request).isSuccess();
        } catch (IOException e) {
            return false;
        }
    }

    private void sendChecked(Request request, String about) {
        try {
            Web.Answer answer = Web.send(mHttp, request);
            if (!answer.isSuccess()) {
                throw new IllegalStateException(about + ": " + answer);
            }
        } catch (IOException e) {
            throw new UncheckedIOException(about, e);
        }
    }
}
