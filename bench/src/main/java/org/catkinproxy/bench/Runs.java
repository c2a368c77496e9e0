package org.catkinproxy.bench;

import java.util.List;
import java.util.concurrent.ForkJoinPool;
import java.util.function.ToDoubleFunction;
import java.util.stream.IntStream;

/**
 * What was measured of one contender in one scenario, for each seed.
 *
 * <p>Immutable but for the tallies, which nothing changes once they are here.
 *
 * @param bySeed the tallies of the scenario's spans, for each seed
 */
record Runs(List<List<Tally>> bySeed) {
    private static final int MAX_THREADS = 4;

    Runs {
        bySeed = List.copyOf(bySeed);
    }

    /** Runs a scenario for each seed, a few at the same time. */
    static Runs of(
            Deployment deployment, Contender contender, Scenario scenario, long seed, int seeds) {
        ForkJoinPool pool = new ForkJoinPool(MAX_THREADS);
        try {
            return pool.submit(
                            () ->
                                    new Runs(
                                            IntStream.range(0, seeds)
                                                    .parallel()
                                                    .mapToObj(
                                                            i ->
                                                                    World.run(
                                                                            deployment,
                                                                            contender,
                                                                            scenario,
                                                                            seed + i))
                                                    .toList()))
                    .join();
        } finally {
            pool.shutdown();
        }
    }

    /** Returns the spread of a measure of one span. */
    Spread spread(int span, ToDoubleFunction<Tally> measure) {
        return Spread.of(
                bySeed.stream().mapToDouble(t -> measure.applyAsDouble(t.get(span))).toArray());
    }

    /** Returns the spread of a measure of all spans of a run. */
    Spread spread(ToDoubleFunction<List<Tally>> measure) {
        return Spread.of(bySeed.stream().mapToDouble(measure).toArray());
    }

    /** Returns the spread of the ratio of a measure to that of another contender. */
    Spread ratio(Runs other, ToDoubleFunction<Tally> measure) {
        return Spread.of(
                IntStream.range(0, bySeed.size())
                        .mapToDouble(
                                i ->
                                        measure.applyAsDouble(bySeed.get(i).get(0))
                                                / measure.applyAsDouble(other.bySeed.get(i).get(0)))
                        .toArray());
    }
}
