package org.catkinproxy.load;

import org.catkinproxy.demo.Caller;
import org.catkinproxy.demo.Cluster;
import org.catkinproxy.demo.ClusterOptions;
import org.catkinproxy.demo.DemoSheet;
import org.catkinproxy.demo.Member;
import org.catkinproxy.demo.Operator;
import org.catkinproxy.demo.StreamOutcome;
import org.catkinproxy.tool.CommandLine;
import org.kohsuke.args4j.Option;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/** Starts a cluster, sends load through it, and prints what callers saw. */
public final class LoadMain extends CommandLine {
    private static final int BASE_PORT = 20_000;
    private static final int MAX_CONNECTIONS = 3;
    private static final Duration WARM_UP = Duration.ofSeconds(3);

    @Option(name = "--rps", usage = "requests per second")
    private double mPerSecond = 10;

    @Option(name = "--seconds", usage = "how long requests are sent")
    private int mSeconds = 30;

    @Option(name = "--callers", usage = "the most requests at a time")
    private int mCallers = 64;

    @Option(name = "--seed", usage = "decides the requests")
    private long mSeed = 1;

    @Option(name = "--base-port", metaVar = "PORT", usage = "first port to try")
    private int mBasePort = BASE_PORT;

    private LoadMain() {}

    /** Runs the load; exits 0 if all requests were sent. */
    public static void main(String[] args) throws IOException, InterruptedException {
        LoadMain main = new LoadMain();
        main.parse(args);
        System.exit(main.run() ? 0 : 1);
    }

    private boolean run() throws IOException, InterruptedException {
        Path directory = Files.createTempDirectory("catkinproxy-load");
        Cluster cluster = Cluster.create(ClusterOptions.small(directory, mBasePort, 0));
        Runtime.getRuntime().addShutdownHook(new Thread(cluster::close, "end"));
        System.out.println("Settings and logs are in " + directory);
        cluster.start();
        applySheet(cluster);
        Measures measures = new Measures();
        Queue<Arrival> arrivals =
                new ConcurrentLinkedQueue<>(
                        Arrivals.of(mSeed, mPerSecond, Duration.ofSeconds(mSeconds)));
        ExecutorService threads = Executors.newFixedThreadPool(mCallers);
        long start = System.nanoTime();
        for (int i = 0; i < mCallers; i++) {
            threads.execute(() -> send(cluster, arrivals, start, measures));
        }
        threads.shutdown();
        boolean ended = threads.awaitTermination(mSeconds + 120L, TimeUnit.SECONDS);
        measures.print();
        return ended;
    }

    private static void applySheet(Cluster cluster) {
        Operator operator = new Operator();
        String csv = DemoSheet.csv(cluster, "v1", "gpu-a", Set.of());
        Cluster.await(
                "the sheet to be accepted",
                () -> {
                    try {
                        return operator.apply(cluster.daemons().get(0), csv, 0).isSuccess();
                    } catch (IOException e) {
                        return false;
                    }
                });
        cluster.daemons().forEach(cluster::awaitReady);
        Cluster.sleep(WARM_UP);
    }

    private static void send(
            Cluster cluster, Queue<Arrival> arrivals, long start, Measures measures) {
        List<String> known = cluster.daemons().stream().map(Member::address).toList();
        List<Caller> callers =
                DemoSheet.WORKSPACES.stream()
                        .map(w -> new Caller(known, DemoSheet.keyOf(w)))
                        .toList();
        Arrival next = arrivals.poll();
        while (next != null) {
            long wait = next.atNanos() - (System.nanoTime() - start);
            Cluster.sleep(Duration.ofNanos(Math.max(0, wait)));
            long late = System.nanoTime() - start - next.atNanos();
            String text = next.prompt().text();
            Caller caller = callers.get(DemoSheet.WORKSPACES.indexOf(next.prompt().workspace()));
            StreamOutcome outcome = caller.complete(text, next.maxTokens(), MAX_CONNECTIONS);
            measures.add(next, text, Duration.ofNanos(Math.max(0, late)).toMillis(), outcome);
            next = arrivals.poll();
        }
    }
}
