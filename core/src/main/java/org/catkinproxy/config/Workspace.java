package org.catkinproxy.config;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import org.catkinproxy.id.WorkspaceId;

import java.util.Set;

/**
 * A workspace, with its bearer keys, its share of the engines and its service-level objectives.
 *
 * <p>Immutable and thread-safe.
 *
 * @param id the id of the workspace
 * @param share the weight of the workspace in fair queueing, at least 1
 * @param keyDigests the SHA-256 digests of the callers' bearer keys, in lower-case hexadecimal
 * @param objectives the service-level objectives of the workspace
 */
public record Workspace(
        WorkspaceId id, int share, Set<String> keyDigests, ServiceLevelObjectives objectives) {
    /** Checks the components and copies the digests. */
    public Workspace {
        checkNotNull(id, "id");
        checkArgument(share >= 1, "share is below 1: %s", share);
        keyDigests = Set.copyOf(keyDigests);
        checkNotNull(objectives, "objectives");
    }
}
