package org.catkinproxy.load;

import org.catkinproxy.demo.DemoSheet;
import org.catkinproxy.demo.NestedPrompt;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** The requests of a run, which follow from the seed alone. Stateless. */
final class Arrivals {
    private static final int SECTIONS = 8;
    private static final int MIN_TOKENS = 10;
    private static final int TOKENS_SPREAD = 40;

    private Arrivals() {}

    /** Returns requests with random gaps at {@code perSecond} on average; low sections are hot. */
    static List<Arrival> of(long seed, double perSecond, Duration length) {
        Random random = new Random(seed);
        List<Arrival> arrivals = new ArrayList<>();
        double at = 0;
        while (at < length.toNanos()) {
            String workspace =
                    DemoSheet.WORKSPACES.get(random.nextInt(DemoSheet.WORKSPACES.size()));
            int section = Math.min(random.nextInt(SECTIONS), random.nextInt(SECTIONS));
            NestedPrompt prompt =
                    new NestedPrompt(workspace, section, "request " + arrivals.size());
            int maxTokens = MIN_TOKENS + random.nextInt(TOKENS_SPREAD);
            arrivals.add(new Arrival((long) at, prompt, maxTokens));
            at += -Math.log(1 - random.nextDouble()) / perSecond * Duration.ofSeconds(1).toNanos();
        }
        return arrivals;
    }
}
