package org.catkinproxy.bench;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * Runs the scenarios of a deployment and prints what was measured.
 *
 * <p>Prints the same for the same seeds. Used by one thread.
 */
final class Bench {
    private static final double STEADY_LOAD = 0.8;
    private static final long STEADY_SECONDS = 100;
    private static final double PERCENT = 100;
    private static final double P95 = 95;
    private static final double P99 = 99;
    private static final int UNLOADED = 0;
    private static final int FULL = 1;
    private static final int OVER = 2;
    private static final int AFTER_PEAK = 3;
    private static final int BEFORE_FAULT = 0;
    private static final int AFTER_FAULT = 2;

    private final Deployment mDeployment;
    private final long mSeed;
    private final int mSeeds;
    private final PrintStream mOut;
    private final Map<Contender, Runs> mSteady = new EnumMap<>(Contender.class);
    private final List<Target> mTargets = new ArrayList<>();

    Bench(Deployment deployment, long seed, int seeds, PrintStream out) {
        mDeployment = deployment;
        mSeed = seed;
        mSeeds = seeds;
        mOut = out;
    }

    /** Compares all contenders at 80 in 100 of the capacity. */
    void steady() {
        mOut.printf(
                Locale.ROOT,
                "%s, load %.0f %% of %.0f calls/s, %d seeds from %d, min/median/max%n",
                mDeployment.name().toLowerCase(Locale.ROOT),
                STEADY_LOAD * PERCENT,
                mDeployment.capacity(),
                mSeeds,
                mSeed);
        printHeader();
        Scenario scenario = Scenario.steady(STEADY_LOAD, STEADY_SECONDS);
        for (Contender contender : Contender.values()) {
            Runs runs = run(contender, scenario);
            mSteady.put(contender, runs);
            printRow(contender.title(), runs, 0);
        }
        addSteadyTargets();
    }

    /** Takes the product to 150 in 100 of the capacity for ten minutes. */
    void overload() {
        mOut.println("overload: unloaded, full, ten minutes at 150 %, from 10 s after the peak");
        printHeader();
        Scenario scenario = Scenario.overload();
        Runs runs = run(Contender.CATKIN, scenario);
        List<String> names = List.of("25 %", "100 %", "150 %", "after peak");
        for (int span = 0; span < names.size(); span++) {
            printRow(names.get(span), runs, span);
        }
        addOverloadTargets(runs, scenario);
    }

    /** Measures before and from 10 s after each fault. */
    void faults() {
        for (Scenario.Fault fault : Scenario.Fault.values()) {
            if (fault != Scenario.Fault.NONE) {
                fault(fault);
            }
        }
    }

    void printTargets() {
        mTargets.forEach(mOut::println);
    }

    /** Prints how the oracle and the product do by rate, to choose the capacity. */
    void calibrate() {
        printHeader();
        for (double load = 0.6; load < 1.8; load += 0.2) {
            Scenario scenario = Scenario.steady(load, STEADY_SECONDS);
            for (Contender contender : List.of(Contender.ORACLE, Contender.CATKIN)) {
                String title =
                        String.format(
                                Locale.ROOT,
                                "%s %.0f/s",
                                contender.title(),
                                load * mDeployment.capacity());
                printRow(title, run(contender, scenario), 0);
            }
        }
    }

    /** Draws the steady table. */
    void plot(String file) {
        Plot.write(mDeployment, mSteady, file);
    }

    private Runs run(Contender contender, Scenario scenario) {
        return Runs.of(mDeployment, contender, scenario, mSeed, mSeeds);
    }

    private void fault(Scenario.Fault fault) {
        String name = fault.name().toLowerCase(Locale.ROOT).replace('_', ' ');
        mOut.println("fault: " + name);
        printHeader();
        List<String> spans = List.of("before", "10 s after", "later");
        for (Contender contender : List.of(Contender.ORACLE, Contender.CATKIN)) {
            Runs runs = run(contender, Scenario.fault(fault));
            for (int span = 0; span < spans.size(); span++) {
                printRow(contender.title() + " " + spans.get(span), runs, span);
            }
            if (contender == Contender.CATKIN) {
                addFaultTargets(name, runs);
            }
        }
    }

    private void addSteadyTargets() {
        Runs own = mSteady.get(Contender.CATKIN);
        Runs oracle = mSteady.get(Contender.ORACLE);
        if (mDeployment == Deployment.ASSOCIATION) {
            Runs leastLoad = mSteady.get(Contender.LEAST_LOAD);
            atLeast("hit rate over the oracle's", own.ratio(oracle, Tally::hitRate), 0.95);
            atMost("waste over least load's", own.ratio(leastLoad, Tally::wastedShare), 0.25);
            atMost("p95 over least load's", own.ratio(leastLoad, t -> t.firstTokenMillis(P95)), 1);
            atMost("p99 over least load's", own.ratio(leastLoad, t -> t.firstTokenMillis(P99)), 1);
        } else {
            Runs robin = mSteady.get(Contender.ROUND_ROBIN);
            atMost("p99 over the oracle's", own.ratio(oracle, t -> t.firstTokenMillis(P99)), 1.2);
            atMost("p99 over round robin's", own.ratio(robin, t -> t.firstTokenMillis(P99)), 0.5);
        }
    }

    private void addOverloadTargets(Runs runs, Scenario scenario) {
        atLeast(
                "in time a second at 150 % over 100 %",
                runs.spread(t -> rate(t, scenario, OVER) / rate(t, scenario, FULL)), 0.9);
        atMost(
                "alarms' p99 at 150 % over unloaded",
                runs.spread(t -> t.get(OVER).alarmMillis(P99) / t.get(UNLOADED).alarmMillis(P99)),
                1.2);
        atLeast(
                "least workspace over its fair share at 150 %",
                runs.spread(t -> leastShare(t, scenario)), 0.5);
        Runs steady = mSteady.get(Contender.CATKIN);
        Spread steadyTail = steady.spread(0, t -> t.firstTokenMillis(P99));
        atMost(
                "p99 from 10 s after the peak over the usual",
                runs.spread(t -> t.get(AFTER_PEAK).firstTokenMillis(P99) / steadyTail.median()),
                1.2);
        Spread steadyShare = steady.spread(0, Tally::inTimeShare);
        atLeast(
                "in time from 10 s after the peak over the usual",
                runs.spread(t -> t.get(AFTER_PEAK).inTimeShare() / steadyShare.median()),
                0.99);
    }

    private void addFaultTargets(String name, Runs runs) {
        atLeast(
                "hit rate from 10 s after " + name + " over before",
                runs.spread(t -> t.get(AFTER_FAULT).hitRate() / t.get(BEFORE_FAULT).hitRate()),
                0.95);
        atMost(
                "p95 from 10 s after " + name + " over before",
                runs.spread(
                        t ->
                                t.get(AFTER_FAULT).firstTokenMillis(P95)
                                        / t.get(BEFORE_FAULT).firstTokenMillis(P95)),
                1.2);
        atLeast(
                "in time from 10 s after " + name + " over before",
                runs.spread(
                        t -> t.get(AFTER_FAULT).inTimeShare() / t.get(BEFORE_FAULT).inTimeShare()),
                0.99);
    }

    private static double rate(List<Tally> tallies, Scenario scenario, int span) {
        return tallies.get(span).inTimeCount() / scenario.spans().get(span).seconds();
    }

    private static double leastShare(List<Tally> tallies, Scenario scenario) {
        Tally over = tallies.get(OVER);
        double seconds = scenario.spans().get(OVER).seconds();
        double[] demands = new double[Deployment.WORKSPACE_SHARES.length];
        for (int i = 0; i < demands.length; i++) {
            demands[i] = over.sentBy(i) / seconds;
        }
        double[] fair = FairShare.divide(rate(tallies, scenario, FULL), demands);
        double least = Double.POSITIVE_INFINITY;
        for (int i = 0; i < fair.length; i++) {
            least = Math.min(least, over.inTimeOf(i) / seconds / fair[i]);
        }
        return least;
    }

    private void atLeast(String name, Spread measured, double limit) {
        mTargets.add(new Target(name, measured, Target.Bound.AT_LEAST, limit));
    }

    private void atMost(String name, Spread measured, double limit) {
        mTargets.add(new Target(name, measured, Target.Bound.AT_MOST, limit));
    }

    private void printHeader() {
        print("", "hit %", "p95 ms", "p99 ms", "alarm p99 ms", "wasted %", "in time %");
    }

    private void printRow(String title, Runs runs, int span) {
        print(
                title,
                runs.spread(span, t -> t.hitRate() * PERCENT).format(1),
                runs.spread(span, t -> t.firstTokenMillis(P95)).format(0),
                runs.spread(span, t -> t.firstTokenMillis(P99)).format(0),
                runs.spread(span, t -> t.alarmMillis(P99)).format(0),
                runs.spread(span, t -> t.wastedShare() * PERCENT).format(1),
                runs.spread(span, t -> t.inTimeShare() * PERCENT).format(1));
    }

    private void print(String... cells) {
        mOut.printf(Locale.ROOT, "%-24s %18s %20s %20s %18s %16s %18s%n", (Object[]) cells);
    }
}
