package org.catkinproxy.admin;

/**
 * The configuration of a workspace, without its bearer keys.
 *
 * <p>Immutable and thread-safe.
 *
 * @param workspace the id of the workspace
 * @param share the weight of the workspace in fair queueing
 * @param keys the number of its bearer keys
 * @param firstTokenMillis the target for the time to first token, in milliseconds
 * @param firstTokenShare the target share of first tokens within that time, between 0 and 1
 * @param availability the target share of requests answered completely, between 0 and 1
 * @param hitRate the target share of prompt tokens served from a cache, between 0 and 1
 */
public record WorkspaceView(
        String workspace,
        int share,
        int keys,
        int firstTokenMillis,
        double firstTokenShare,
        double availability,
        double hitRate) {}
