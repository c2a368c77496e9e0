package org.catkinproxy.route;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import org.catkinproxy.id.EngineId;
import org.catkinproxy.id.Incarnation;
import org.catkinproxy.id.PoolId;
import org.catkinproxy.id.Weights;

import java.util.Set;

/**
 * What an engine last said of itself; it lags behind the truth.
 *
 * <p>Immutable, and so safe for use by any thread.
 *
 * @param engine the engine
 * @param incarnation the start of the engine that reports
 * @param pool the engine's pool in the configuration
 * @param weights the weights that are loaded and can answer
 * @param slots how many requests it computes at the same time
 * @param running how many it computes
 * @param queued how many wait in it
 * @param queuedTokens prompt tokens that wait to be computed, of running and waiting requests
 * @param prefillTokensPerSecond its speed of computing prompts
 * @param decodeTokensPerSecond its speed of generating, for one request
 * @param cacheBlocks how many blocks its cache can hold
 * @param ageMillis how old the report was when it was received, as far as is known
 */
public record EngineReport(
        EngineId engine,
        Incarnation incarnation,
        PoolId pool,
        Set<Weights> weights,
        int slots,
        int running,
        int queued,
        long queuedTokens,
        double prefillTokensPerSecond,
        double decodeTokensPerSecond,
        int cacheBlocks,
        long ageMillis) {
    /** Copies the weights and checks the speeds. */
    public EngineReport {
        checkNotNull(engine, "engine");
        checkNotNull(incarnation, "incarnation");
        checkNotNull(pool, "pool");
        weights = Set.copyOf(weights);
        checkArgument(slots > 0, "slots is not positive: %s", slots);
        checkArgument(prefillTokensPerSecond > 0, "prefill speed: %s", prefillTokensPerSecond);
        checkArgument(decodeTokensPerSecond > 0, "decode speed: %s", decodeTokensPerSecond);
    }
}
