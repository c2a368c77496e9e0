package org.catkinproxy.id;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * The identity of a call that may run at most once: the caller's idempotency key and its workspace.
 *
 * <p>Immutable and thread-safe.
 *
 * @param workspace the workspace; equal keys of different workspaces identify different calls
 * @param key the caller's idempotency key
 */
public record CallKey(WorkspaceId workspace, IdempotencyKey key) {
    /** Checks that no component is null. */
    public CallKey {
        checkNotNull(workspace, "workspace");
        checkNotNull(key, "key");
    }

    /** Returns the call key for {@code key} in {@code workspace}. */
    public static CallKey of(WorkspaceId workspace, IdempotencyKey key) {
        return new CallKey(workspace, key);
    }

    @Override
    public String toString() {
        return workspace + "/" + key;
    }
}
