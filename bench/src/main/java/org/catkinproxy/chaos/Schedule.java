package org.catkinproxy.chaos;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;

/** The failures of a run, which follow from the seed alone. Stateless. */
final class Schedule {
    private static final int FIRST_MS = 3_000;
    private static final int MIN_GAP_MS = 500;
    private static final int GAP_SPREAD_MS = 2_500;
    private static final int MIN_LENGTH_MS = 500;
    private static final int LENGTH_SPREAD_MS = 6_000;
    private static final int MAX_TARGET = 1_000;

    private Schedule() {}

    /** Returns the failures in the order of their beginnings; every kind comes once in a round. */
    static List<FaultStep> of(long seed, Duration length) {
        Random random = new Random(seed);
        List<FaultStep> steps = new ArrayList<>();
        List<FaultKind> round = new ArrayList<>();
        long at = FIRST_MS;
        while (at < length.toMillis()) {
            if (round.isEmpty()) {
                round.addAll(List.of(FaultKind.values()));
                Collections.shuffle(round, random);
            }
            FaultKind kind = round.remove(0);
            int target = random.nextInt(MAX_TARGET);
            int duration = MIN_LENGTH_MS + random.nextInt(LENGTH_SPREAD_MS);
            steps.add(
                    new FaultStep(
                            Duration.ofMillis(at),
                            kind,
                            target,
                            Duration.ofMillis(duration),
                            random.nextLong()));
            at += MIN_GAP_MS + random.nextInt(GAP_SPREAD_MS);
        }
        return steps;
    }
}
