package org.catkinproxy.admin;

/**
 * A workspace as operators see it, without its callers' keys.
 *
 * <p>Immutable, and so safe for use by any thread.
 *
 * @param workspace the workspace
 * @param share its weight in fair queueing
 * @param keys how many keys its callers have
 * @param firstTokenMillis the time within which first tokens should come
 * @param firstTokenShare the share of first tokens that should
 * @param availability the share of requests that should be answered whole
 * @param hitRate the share of prompt tokens that should come from a cache
 */
public record WorkspaceView(
        String workspace,
        int share,
        int keys,
        int firstTokenMillis,
        double firstTokenShare,
        double availability,
        double hitRate) {}
