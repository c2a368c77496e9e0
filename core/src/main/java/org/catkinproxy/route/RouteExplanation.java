package org.catkinproxy.route;

import static com.google.common.base.Preconditions.checkNotNull;

import org.catkinproxy.id.EngineId;

import java.util.List;
import java.util.Optional;

/**
 * The candidates and the choice of a routing decision, for diagnosis.
 *
 * <p>Immutable and thread-safe.
 *
 * @param candidates the eligible engines, the lowest cost first
 * @param choice the engine that would get the request, empty if none is eligible
 */
public record RouteExplanation(List<Candidate> candidates, Optional<EngineId> choice) {
    /** Copies the candidates and checks that the choice is not null. */
    public RouteExplanation {
        candidates = List.copyOf(candidates);
        checkNotNull(choice, "choice");
    }

    /**
     * One eligible engine with the estimates that its cost is computed from.
     *
     * @param engine the engine
     * @param cachedTokens the number of prompt tokens that its cache is expected to hold
     * @param queueNanos the expected wait before the prompt is computed, in nanoseconds
     * @param firstTokenNanos the expected time to the first token, in nanoseconds
     * @param costNanos the cost by which the policy ranks engines, in nanoseconds of waiting
     */
    public record Candidate(
            EngineId engine,
            int cachedTokens,
            long queueNanos,
            long firstTokenNanos,
            long costNanos) {}
}
