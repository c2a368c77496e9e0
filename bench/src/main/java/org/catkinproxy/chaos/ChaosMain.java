package org.catkinproxy.chaos;

import org.catkinproxy.demo.Cluster;
import org.catkinproxy.demo.ClusterOptions;
import org.catkinproxy.tool.CommandLine;
import org.kohsuke.args4j.Option;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/** Runs a cluster under failures and counts broken promises. */
public final class ChaosMain extends CommandLine {
    private static final int STREAM_WORKERS = 10;
    private static final int FILING_WORKERS = 5;
    private static final Duration SETTLE = Duration.ofSeconds(20);
    private static final int BASE_PORT = 19_000;

    @Option(name = "--seed", metaVar = "N", usage = "decides the failures")
    private long mSeed = 1;

    @Option(name = "--minutes", metaVar = "M", usage = "how long failures begin")
    private double mMinutes = 5;

    @Option(name = "--base-port", metaVar = "PORT", usage = "first port to try")
    private int mBasePort = BASE_PORT;

    @Option(name = "--schedule", usage = "only print the failures")
    private boolean mScheduleOnly;

    private ChaosMain() {}

    /** Runs; exits 0 if no promise was broken. */
    public static void main(String[] args) throws Exception {
        ChaosMain main = new ChaosMain();
        main.parse(args);
        System.exit(main.run() ? 0 : 1);
    }

    private boolean run() throws IOException, InterruptedException {
        Duration length = Duration.ofMillis((long) (mMinutes * 60_000));
        List<FaultStep> steps = Schedule.of(mSeed, length);
        if (mScheduleOnly) {
            steps.forEach(System.out::println);
            return true;
        }
        Path directory = Files.createTempDirectory("catkinproxy-chaos");
        Cluster cluster = Cluster.create(ClusterOptions.small(directory, mBasePort, 0));
        Runtime.getRuntime().addShutdownHook(new Thread(cluster::close, "end"));
        System.out.println("Settings and logs are in " + directory);
        cluster.start();
        RunContext context = new RunContext(cluster);
        context.sheets().applyFirst();
        ExecutorService threads = Executors.newCachedThreadPool();
        startCallers(context, threads);
        show(context, steps, threads);
        Cluster.sleep(SETTLE);
        context.end();
        threads.shutdown();
        threads.awaitTermination(2, TimeUnit.MINUTES);
        context.filings().audit(FilingBook.executions(cluster.services()), context.ledger());
        return context.ledger().print();
    }

    private void startCallers(RunContext context, ExecutorService threads) {
        Random random = new Random(mSeed);
        for (int i = 0; i < STREAM_WORKERS; i++) {
            execute(context, threads, new StreamWorker(context, i, random.nextLong()));
        }
        for (int i = 0; i < FILING_WORKERS; i++) {
            execute(context, threads, new FilingWorker(context, i, random.nextLong(), threads));
        }
        execute(context, threads, new RevisionWatcher(context));
    }

    private static void show(RunContext context, List<FaultStep> steps, ExecutorService threads) {
        long start = System.nanoTime();
        for (FaultStep step : steps) {
            long wait = step.at().toNanos() - (System.nanoTime() - start);
            Cluster.sleep(Duration.ofNanos(Math.max(0, wait)));
            context.ledger().note(step.kind() + " for " + step.length().toMillis() + " ms");
            execute(context, threads, () -> step.kind().show(context, step));
        }
    }

    /** Runs one part; a failure of the part itself is printed and not taken for a promise. */
    private static void execute(RunContext context, ExecutorService threads, Runnable part) {
        threads.execute(
                () -> {
                    try {
                        part.run();
                    } catch (RuntimeException e) {
                        context.ledger().failed(e);
                    }
                });
    }
}
