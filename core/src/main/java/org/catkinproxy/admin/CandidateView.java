package org.catkinproxy.admin;

/**
 * An engine that may answer a prompt.
 *
 * <p>Immutable, and so safe for use by any thread.
 *
 * @param engine the engine
 * @param cachedTokens how much of the prompt it is believed to hold
 * @param queueMillis how long the prompt is expected to wait there
 * @param firstTokenMillis the expected time to the first token
 * @param costMillis what the policy compares
 */
public record CandidateView(
        String engine,
        int cachedTokens,
        double queueMillis,
        double firstTokenMillis,
        double costMillis) {}
