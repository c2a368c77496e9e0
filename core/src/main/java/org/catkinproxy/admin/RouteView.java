package org.catkinproxy.admin;

import java.util.List;

/**
 * Why a prompt would go where it would go.
 *
 * <p>Immutable, and so safe for use by any thread.
 *
 * @param choice the engine that would get it, empty if none may answer
 * @param policy the policy that compares the costs
 * @param promptTokens the estimated size of the prompt
 * @param candidates the engines that may answer, the cheapest first
 */
public record RouteView(
        String choice, String policy, int promptTokens, List<CandidateView> candidates) {}
