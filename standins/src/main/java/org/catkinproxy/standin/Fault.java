package org.catkinproxy.standin;

import static com.google.common.base.Preconditions.checkArgument;

import com.fasterxml.jackson.databind.JsonNode;

import java.time.Duration;

/**
 * A failure that a stand-in was told to show.
 *
 * <p>Immutable, and so safe for use by any thread.
 *
 * @param name which failure, one of those in {@code standins/README.md}
 * @param count how many times it shows, or {@link #UNLIMITED}
 * @param delay how long it takes, for failures that take time
 * @param probability how likely each opportunity is taken, between 0 and 1
 * @param seed decides which opportunities are taken
 * @param path how the paths of the calls concerned begin
 */
public record Fault(
        String name, int count, Duration delay, double probability, long seed, String path) {
    /** The count of a fault that shows until it is cleared. */
    public static final int UNLIMITED = -1;

    private static final long DEFAULT_DELAY_MS = 1_000;

    /** Checks the ranges. */
    public Fault {
        checkArgument(!name.isEmpty(), "fault is empty");
        checkArgument(count >= UNLIMITED, "count: %s", count);
        checkArgument(!delay.isNegative(), "delayMs is negative: %s", delay);
        checkArgument(probability >= 0 && probability <= 1, "probability: %s", probability);
    }

    /** Reads the body of {@code POST /admin/fault}. */
    public static Fault of(JsonNode json) {
        return new Fault(
                json.path("fault").asText(),
                json.path("count").asInt(UNLIMITED),
                Duration.ofMillis(json.path("delayMs").asLong(DEFAULT_DELAY_MS)),
                json.path("probability").asDouble(1),
                json.path("seed").asLong(1),
                json.path("path").asText("/"));
    }

    /** Returns a fault that shows until it is cleared. */
    public static Fault of(String name) {
        return new Fault(name, UNLIMITED, Duration.ofMillis(DEFAULT_DELAY_MS), 1, 1, "/");
    }

    /** Returns the same fault, shown at most {@code times} times. */
    public Fault times(int times) {
        return new Fault(name, times, delay, probability, seed, path);
    }

    /** Returns the same fault with another delay. */
    public Fault delayed(Duration wait) {
        return new Fault(name, count, wait, probability, seed, path);
    }
}
