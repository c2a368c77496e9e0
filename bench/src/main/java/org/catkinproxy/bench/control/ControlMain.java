package org.catkinproxy.bench.control;

import org.catkinproxy.bench.LineFit;
import org.catkinproxy.demo.Cluster;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.function.ToDoubleFunction;
import java.util.function.ToIntFunction;

/**
 * The command {@code bin/slopes --daemon}: what an idle daemon costs by engines and by peers.
 *
 * <p>Two sites run at a time, so that a whole run stays under 4 minutes. Used by one thread.
 */
public final class ControlMain {
    private static final Duration WARM_UP = Duration.ofSeconds(15);
    private static final Duration WINDOW = Duration.ofSeconds(20);
    private static final int BASE_PORT = 26_000;
    private static final int PORTS_PER_SITE = 100;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final double MILLIS_PER_SECOND = 1e3;
    private static final double KIB = 1_024;
    private static final double MIB = KIB * KIB;

    /** Pairs of sites that run at the same time; small with large, so that the load is even. */
    private static final List<List<Size>> PAIRS =
            List.of(
                    List.of(new Size(4, 1), new Size(32, 1)),
                    List.of(new Size(8, 1), new Size(16, 1)),
                    List.of(new Size(4, 1), new Size(4, 8)),
                    List.of(new Size(4, 2), new Size(4, 4)));

    private static final int PAIRS_BY_ENGINES = 2;

    private ControlMain() {}

    /** Measures at each size and prints the lines fitted through the sizes. */
    public static void main(String[] args) throws IOException {
        System.out.printf(
                "Means over a site's daemons, warm-up %d s, window %d s%n",
                WARM_UP.toSeconds(), WINDOW.toSeconds());
        System.out.println(
                "engines daemons | cpu ms/s (least, most) | RSS MiB | live heap MiB | KiB/s moved");
        Path root = Files.createTempDirectory("catkinproxy-control");
        List<Row> byEngines = new ArrayList<>();
        List<Row> byPeers = new ArrayList<>();
        for (int i = 0; i < PAIRS.size(); i++) {
            List<Row> rows = measure(PAIRS.get(i), root.resolve("pair-" + i));
            rows.forEach(System.out::println);
            (i < PAIRS_BY_ENGINES ? byEngines : byPeers).addAll(rows);
        }
        printFits("engine", byEngines, row -> row.size().engines());
        printFits("peer", byPeers, row -> row.size().daemons() - 1);
        System.exit(0);
    }

    private static List<Row> measure(List<Size> sizes, Path directory) throws IOException {
        List<IdleSite> sites = new ArrayList<>();
        for (Size size : sizes) {
            int number = sites.size();
            Path own = Files.createDirectories(directory.resolve("site-" + number));
            int port = BASE_PORT + number * PORTS_PER_SITE;
            sites.add(new IdleSite(own, port, size.engines(), size.daemons()));
        }
        Thread end = new Thread(() -> sites.forEach(IdleSite::close), "end");
        Runtime.getRuntime().addShutdownHook(end);
        try {
            sites.forEach(IdleSite::start);
            Cluster.sleep(WARM_UP);
            List<List<ProcessReading>> before = sites.stream().map(ControlMain::read).toList();
            Cluster.sleep(WINDOW);
            List<List<ProcessReading>> after = sites.stream().map(ControlMain::read).toList();
            List<Row> rows = new ArrayList<>();
            for (int i = 0; i < sites.size(); i++) {
                if (!sites.get(i).isWhole()) {
                    throw new IllegalStateException(sizes.get(i) + " lost an engine or a peer");
                }
                rows.add(Row.of(sizes.get(i), before.get(i), after.get(i), liveMib(sites.get(i))));
            }
            return rows;
        } finally {
            sites.forEach(IdleSite::close);
            Runtime.getRuntime().removeShutdownHook(end);
        }
    }

    private static List<ProcessReading> read(IdleSite site) {
        return site.pids().stream().map(ProcessReading::of).toList();
    }

    /** Asking for the histogram of live objects collects garbage first, so it comes last. */
    private static double liveMib(IdleSite site) throws IOException {
        double total = 0;
        for (long pid : site.pids()) {
            Process tool =
                    new ProcessBuilder(
                                    Path.of(System.getProperty("java.home"), "bin", "jcmd")
                                            .toString(),
                                    Long.toString(pid),
                                    "GC.class_histogram")
                            .redirectErrorStream(true)
                            .start();
            String text = new String(tool.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            total += liveBytes(text) / MIB;
        }
        return total / site.pids().size();
    }

    /** Returns the bytes in the line {@code Total INSTANCES BYTES} of a histogram. */
    static long liveBytes(String histogram) {
        return histogram
                .lines()
                .filter(line -> line.startsWith("Total "))
                .mapToLong(line -> Long.parseLong(line.strip().split(" +")[2]))
                .findFirst()
                .orElseThrow(() -> new IllegalArgumentException("no total in " + histogram));
    }

    private static void printFits(String unit, List<Row> rows, ToIntFunction<Row> size) {
        int[] sizes = rows.stream().mapToInt(size).toArray();
        printFit("cpu ms/s", unit, sizes, rows, Row::cpuMillis);
        printFit("RSS MiB", unit, sizes, rows, Row::residentMib);
        printFit("live heap MiB", unit, sizes, rows, Row::liveMib);
        printFit("KiB/s moved", unit, sizes, rows, Row::movedKib);
    }

    private static void printFit(
            String name, String unit, int[] sizes, List<Row> rows, ToDoubleFunction<Row> value) {
        LineFit fit = LineFit.of(sizes, rows.stream().mapToDouble(value).toArray());
        System.out.printf(
                Locale.ROOT,
                "%-13s = %8.3f + (%7.3f +- %.3f) a %s; rms residual %.3f%n",
                name,
                fit.intercept(),
                fit.slope(),
                fit.slopeError(sizes),
                unit,
                fit.error());
    }

    /** How many engines a site has, and how many daemons. Immutable. */
    private record Size(int engines, int daemons) {}

    /** What was measured at a size: means over the daemons, with the extremes. Immutable. */
    private record Row(
            Size size,
            double cpuMillis,
            double leastCpu,
            double mostCpu,
            double residentMib,
            double liveMib,
            double movedKib) {
        static Row of(
                Size size, List<ProcessReading> before, List<ProcessReading> after, double live) {
            int n = before.size();
            double[] cpu = new double[n];
            double resident = 0;
            double moved = 0;
            for (int i = 0; i < n; i++) {
                ProcessReading first = before.get(i);
                ProcessReading last = after.get(i);
                double seconds = (last.nanos() - first.nanos()) / NANOS_PER_SECOND;
                double ticks = last.cpuTicks() - first.cpuTicks();
                cpu[i] = ticks / ProcessReading.TICKS_PER_SECOND * MILLIS_PER_SECOND / seconds;
                resident += last.residentKib() / KIB / n;
                moved += (last.movedBytes() - first.movedBytes()) / KIB / seconds / n;
            }
            return new Row(
                    size,
                    Arrays.stream(cpu).average().orElseThrow(),
                    Arrays.stream(cpu).min().orElseThrow(),
                    Arrays.stream(cpu).max().orElseThrow(),
                    resident,
                    live,
                    moved);
        }

        @Override
        public String toString() {
            return String.format(
                    Locale.ROOT,
                    "%7d %7d | %8.2f (%5.1f, %5.1f) | %7.1f | %13.2f | %11.2f",
                    size.engines(),
                    size.daemons(),
                    cpuMillis,
                    leastCpu,
                    mostCpu,
                    residentMib,
                    liveMib,
                    movedKib);
        }
    }
}
