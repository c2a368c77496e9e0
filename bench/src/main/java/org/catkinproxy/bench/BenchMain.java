package org.catkinproxy.bench;

import org.catkinproxy.tool.CommandLine;
import org.kohsuke.args4j.Option;

/** The command {@code bin/bench}. */
public final class BenchMain extends CommandLine {

    @Option(name = "--deployment", required = true, usage = "association or vaktlag")
    private Deployment mDeployment;

    @Option(name = "--seed", usage = "the first seed")
    private long mSeed = 1;

    @Option(name = "--seeds", usage = "how many seeds are run")
    private int mSeeds = 10;

    @Option(name = "--plot", usage = "where to write a plot as PNG")
    private String mPlot;

    @Option(name = "--calibrate", usage = "print the oracle's and the router's answers by rate")
    private boolean mCalibrate;

    @Option(name = "--steady", usage = "only the table of all ways of routing")
    private boolean mSteady;

    private BenchMain() {}

    /** Runs the bench. */
    public static void main(String[] args) {
        BenchMain main = new BenchMain();
        main.parse(args);
        main.run();
    }

    private void run() {
        Bench bench = new Bench(mDeployment, mSeed, mSeeds, System.out);
        if (mCalibrate) {
            bench.calibrate();
            return;
        }
        bench.steady();
        if (!mSteady) {
            bench.overload();
            bench.faults();
        }
        bench.printTargets();
        if (mPlot != null) {
            bench.plot(mPlot);
        }
    }
}
