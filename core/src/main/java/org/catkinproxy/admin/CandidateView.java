package org.catkinproxy.admin;

/**
 * An engine that is eligible for a prompt, with its estimated cost.
 *
 * <p>Immutable and thread-safe.
 *
 * @param engine the id of the engine
 * @param cachedTokens the number of prompt tokens that the engine is believed to have cached
 * @param queueMillis the expected queueing time at the engine, in milliseconds
 * @param firstTokenMillis the expected time to first token, in milliseconds
 * @param costMillis the cost by which the routing policy ranks engines, in milliseconds
 */
public record CandidateView(
        String engine,
        int cachedTokens,
        double queueMillis,
        double firstTokenMillis,
        double costMillis) {}
