package org.catkinproxy.route;

import org.catkinproxy.id.WorkspaceId;

import java.util.Map;

/**
 * The shares of workspaces in fair queueing.
 *
 * <p>A workspace without a configured share, or with one below 1, has a share of 1. Immutable and
 * thread-safe.
 */
record WorkspaceShares(Map<WorkspaceId, Integer> shares) {
    private static final int DEFAULT_SHARE = 1;

    static final WorkspaceShares EQUAL = new WorkspaceShares(Map.of());

    WorkspaceShares {
        shares = Map.copyOf(shares);
    }

    double of(WorkspaceId workspace) {
        return Math.max(DEFAULT_SHARE, shares.getOrDefault(workspace, DEFAULT_SHARE));
    }
}
