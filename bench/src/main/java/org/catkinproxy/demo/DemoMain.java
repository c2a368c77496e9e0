package org.catkinproxy.demo;

import org.catkinproxy.tool.CommandLine;
import org.kohsuke.args4j.Option;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;

/** Starts a cluster on loopback and shows what it does. */
public final class DemoMain extends CommandLine {

    @Option(name = "--check", usage = "verify, end everything, and exit 0 only if all held")
    private boolean mCheck;

    @Option(name = "--base-port", metaVar = "PORT", usage = "first port to try")
    private int mBasePort = ClusterOptions.DEFAULT_BASE_PORT;

    @Option(name = "--ctl", metaVar = "FILE", usage = "the command-line tool for operators")
    private Path mCtl = Path.of("bin", "catkinctl");

    private DemoMain() {}

    /** Runs the demo; exits 0 if all held. */
    public static void main(String[] args) throws IOException {
        DemoMain main = new DemoMain();
        main.parse(args);
        System.exit(main.run() ? 0 : 1);
    }

    private boolean run() throws IOException {
        Path directory = Files.createTempDirectory("catkinproxy-demo");
        Cluster cluster = Cluster.create(ClusterOptions.small(directory, mBasePort, 0));
        Runtime.getRuntime().addShutdownHook(new Thread(cluster::close, "end"));
        System.out.println("Settings and logs are in " + directory);
        Checks checks = new Checks();
        checks.step(
                "start",
                () -> {
                    cluster.start();
                    return null;
                });
        if (checks.allHeld()) {
            new DemoScenario(cluster, mCtl, checks).run();
        }
        if (!mCheck && checks.allHeld()) {
            stayUp(cluster);
        }
        return checks.allHeld();
    }

    private static void stayUp(Cluster cluster) {
        System.out.println();
        System.out.println("The cluster stays up until Ctrl-C.");
        cluster.daemons()
                .forEach(
                        d ->
                                System.out.printf(
                                        "  %s callers %s operators %s%n",
                                        d.id(), d.url(), d.operatorUrl()));
        for (String workspace : DemoSheet.WORKSPACES) {
            System.out.printf("  workspace %s: key %s%n", workspace, DemoSheet.keyOf(workspace));
        }
        System.out.println("  operator's key: " + DemoSettings.OPERATOR_KEY);
        try {
            new CountDownLatch(1).await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
