package org.catkinproxy.admin;

/**
 * A request for the routing decision that would be made for a prompt.
 *
 * <p>Immutable and thread-safe.
 *
 * @param workspace the id of the workspace of the prompt
 * @param model the name of the requested model
 * @param prompt the text of the prompt
 */
public record ExplainRouteRequest(String workspace, String model, String prompt) {}
