package org.catkinproxy.admin;

import java.util.List;

/**
 * The routing decision for a prompt, with the costs it is based on.
 *
 * <p>Immutable and thread-safe.
 *
 * @param choice the id of the engine that would be selected, or empty if none is eligible
 * @param policy the name of the routing policy that computed the costs
 * @param promptTokens the estimated size of the prompt, in tokens
 * @param candidates the eligible engines, in order of increasing cost
 */
public record RouteView(
        String choice, String policy, int promptTokens, List<CandidateView> candidates) {}
