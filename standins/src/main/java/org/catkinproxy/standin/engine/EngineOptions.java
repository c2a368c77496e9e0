package org.catkinproxy.standin.engine;

import static com.google.common.base.Preconditions.checkArgument;

import org.catkinproxy.standin.WeightsName;

import java.time.Duration;
import java.util.List;

/**
 * The size and speed of an engine stand-in, and how it behaves without faults.
 *
 * <p>Immutable, and so safe for use by any thread.
 *
 * @param slots how many generations run at the same time
 * @param queueLimit how many more may wait
 * @param cacheBlocks how many blocks the prefix cache holds
 * @param prefillTokensPerSecond the speed of prefill, shared by all running generations
 * @param decodeTokensPerSecond the speed of each running generation after its prefill
 * @param reportLag how often the load report is renewed
 * @param eventLag how late cache events are sent
 * @param retention how long a generation without a reader is kept
 * @param checksFencing whether orders with an old fencing number are refused
 * @param role the role at the start
 * @param weights the weights that are loaded at the start
 * @param platformUrl where weights and kept KV come from; empty for loads that need no time
 */
public record EngineOptions(
        int slots,
        int queueLimit,
        int cacheBlocks,
        int prefillTokensPerSecond,
        int decodeTokensPerSecond,
        Duration reportLag,
        Duration eventLag,
        Duration retention,
        boolean checksFencing,
        String role,
        List<WeightsName> weights,
        String platformUrl) {
    /** A quick engine for tests, without weights and without a platform. */
    public static final EngineOptions DEFAULT =
            new EngineOptions(
                    8,
                    64,
                    256,
                    100_000,
                    1_000,
                    Duration.ofMillis(200),
                    Duration.ofMillis(20),
                    Duration.ofSeconds(30),
                    true,
                    "mixed",
                    List.of(),
                    "");

    /** Copies the list and checks the ranges. */
    public EngineOptions {
        checkArgument(slots > 0, "slots: %s", slots);
        checkArgument(queueLimit >= 0, "queueLimit: %s", queueLimit);
        checkArgument(cacheBlocks >= 0, "cacheBlocks: %s", cacheBlocks);
        checkArgument(prefillTokensPerSecond > 0, "prefill speed: %s", prefillTokensPerSecond);
        checkArgument(decodeTokensPerSecond > 0, "decode speed: %s", decodeTokensPerSecond);
        weights = List.copyOf(weights);
    }

    /** Returns the same options with weights that are loaded at the start. */
    public EngineOptions withWeights(List<WeightsName> loaded) {
        return new EngineOptions(
                slots,
                queueLimit,
                cacheBlocks,
                prefillTokensPerSecond,
                decodeTokensPerSecond,
                reportLag,
                eventLag,
                retention,
                checksFencing,
                role,
                loaded,
                platformUrl);
    }

    /** Returns the same options with other sizes. */
    public EngineOptions withSizes(int slotCount, int queue, int blocks) {
        return new EngineOptions(
                slotCount,
                queue,
                blocks,
                prefillTokensPerSecond,
                decodeTokensPerSecond,
                reportLag,
                eventLag,
                retention,
                checksFencing,
                role,
                weights,
                platformUrl);
    }

    /** Returns the same options with other speeds, in tokens per second. */
    public EngineOptions withSpeeds(int prefill, int decode) {
        return new EngineOptions(
                slots,
                queueLimit,
                cacheBlocks,
                prefill,
                decode,
                reportLag,
                eventLag,
                retention,
                checksFencing,
                role,
                weights,
                platformUrl);
    }

    /** Returns the same options with a platform, and with or without the fencing check. */
    public EngineOptions withOrders(String platform, boolean fencing) {
        return new EngineOptions(
                slots,
                queueLimit,
                cacheBlocks,
                prefillTokensPerSecond,
                decodeTokensPerSecond,
                reportLag,
                eventLag,
                retention,
                fencing,
                role,
                weights,
                platform);
    }
}
