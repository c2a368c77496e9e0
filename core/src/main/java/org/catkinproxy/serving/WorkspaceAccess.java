package org.catkinproxy.serving;

import static com.google.common.base.Preconditions.checkNotNull;

import org.catkinproxy.id.WorkspaceId;

import java.util.OptionalInt;

/**
 * The access that an API key grants.
 *
 * <p>Immutable and thread-safe.
 *
 * @param workspace the workspace that owns the key
 * @param priority the priority of all requests of the workspace, empty to use the route's
 * @param cacheIsolated whether the workspace shares no cached prompts with other workspaces
 */
public record WorkspaceAccess(WorkspaceId workspace, OptionalInt priority, boolean cacheIsolated) {
    /** Validates the components. */
    public WorkspaceAccess {
        checkNotNull(workspace, "workspace");
        checkNotNull(priority, "priority");
    }
}
