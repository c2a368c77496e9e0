package org.catkinproxy.route;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import org.catkinproxy.id.EngineId;
import org.catkinproxy.id.Incarnation;
import org.catkinproxy.id.PoolId;
import org.catkinproxy.id.Weights;

import java.util.Set;

/**
 * A load report of an engine, which lags behind the engine's state.
 *
 * <p>Immutable and thread-safe.
 *
 * @param engine the engine
 * @param incarnation the engine's incarnation that sent the report
 * @param pool the engine's pool in the configuration
 * @param weights the weights that are loaded and ready to serve requests
 * @param slots the maximum number of requests that run at the same time, positive
 * @param running the number of running requests
 * @param queued the number of requests that are queued in the engine
 * @param queuedTokens the prompt tokens of running and queued requests that are not computed yet
 * @param prefillTokensPerSecond the speed of computing prompts, positive
 * @param decodeTokensPerSecond the speed of generation for one request, positive
 * @param cacheBlocks the capacity of the cache, in blocks
 * @param ageMillis the age of the report when it was received, in milliseconds, as far as known
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
    /** Copies the weights and checks the components. */
    public EngineReport {
        checkNotNull(engine, "engine");
        checkNotNull(incarnation, "incarnation");
        checkNotNull(pool, "pool");
        weights = Set.copyOf(weights);
        checkArgument(slots > 0, "slots is not positive: %s", slots);
        checkArgument(
                prefillTokensPerSecond > 0,
                "prefillTokensPerSecond is not positive: %s",
                prefillTokensPerSecond);
        checkArgument(
                decodeTokensPerSecond > 0,
                "decodeTokensPerSecond is not positive: %s",
                decodeTokensPerSecond);
    }
}
