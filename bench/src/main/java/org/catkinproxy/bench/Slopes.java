package org.catkinproxy.bench;

import org.catkinproxy.cache.BlockIndex;
import org.catkinproxy.id.BlockKey;

import java.util.Locale;
import java.util.SplittableRandom;
import java.util.function.IntToDoubleFunction;

/** The command {@code bin/slopes}: how costs grow with size. Stateless; used by one thread. */
public final class Slopes {
    private static final int[] ENGINES = {100, 400, 1_600, 7_200};
    private static final int[] ENTRIES = {100_000, 400_000, 1_600_000, 6_400_000};
    private static final int FULL_ROUNDS = 200_000;
    private static final int QUICK_ROUNDS = 20_000;
    private static final double NANOS_PER_MICRO = 1e3;
    private static final int HOLDERS = 1_000;

    private Slopes() {}

    /** Measures at each size and prints the line fitted through the sizes. */
    public static void main(String[] args) {
        boolean quick = args.length == 1 && args[0].equals("--quick");
        int rounds = quick ? QUICK_ROUNDS : FULL_ROUNDS;
        print("us a decision", "engines", ENGINES, n -> decisionMicros(n, rounds));
        print("us a cache event", "engines", ENGINES, n -> eventMicros(n, rounds));
        print("bytes an index entry", "entries", ENTRIES, Slopes::entryBytes);
        print("KiB a dispatcher", "engines", ENGINES, Slopes::dispatcherKibibytes);
    }

    private static double decisionMicros(int engines, int rounds) {
        DispatcherFixture fixture = DispatcherFixture.create(engines);
        return micros(rounds, fixture::decide);
    }

    private static double eventMicros(int engines, int rounds) {
        DispatcherFixture fixture = DispatcherFixture.create(engines);
        return micros(rounds, fixture::storeOne);
    }

    /** The first half warms up and is not counted. */
    private static double micros(int rounds, Runnable work) {
        long start = 0;
        for (int i = 0; i < 2 * rounds; i++) {
            if (i == rounds) {
                start = System.nanoTime();
            }
            work.run();
        }
        return (System.nanoTime() - start) / NANOS_PER_MICRO / rounds;
    }

    private static double entryBytes(int entries) {
        BlockIndex index = BlockIndex.create();
        SplittableRandom random = new SplittableRandom(entries);
        for (int i = 0; i < entries; i++) {
            index.put(new BlockKey(random.nextLong(), random.nextLong()), i % HOLDERS, 1);
        }
        return (double) index.memoryBytes() / entries;
    }

    private static double dispatcherKibibytes(int engines) {
        long before = usedBytes();
        DispatcherFixture fixture = DispatcherFixture.create(engines);
        long after = usedBytes();
        fixture.storeOne();
        return (after - before) / 1_024.0;
    }

    private static long usedBytes() {
        System.gc();
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }

    private static void print(
            String measure, String size, int[] sizes, IntToDoubleFunction measured) {
        double[] values = new double[sizes.length];
        for (int i = 0; i < sizes.length; i++) {
            values[i] = measured.applyAsDouble(sizes[i]);
            System.out.printf(
                    Locale.ROOT, "%-22s %,9d %s %12.3f%n", measure, sizes[i], size, values[i]);
        }
        System.out.println(measure + ": " + LineFit.of(sizes, values));
    }
}
