package org.catkinproxy.id;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * Names a call that may run at most once: the caller's key within its workspace.
 *
 * <p>Immutable, and so safe for use by any thread.
 *
 * @param workspace the workspace, so that equal keys of two workspaces never meet
 * @param key the caller's key
 */
public record CallKey(WorkspaceId workspace, IdempotencyKey key) {
    /** Checks that both parts are there. */
    public CallKey {
        checkNotNull(workspace, "workspace");
        checkNotNull(key, "key");
    }

    /** Returns the key {@code key} of {@code workspace}. */
    public static CallKey of(WorkspaceId workspace, IdempotencyKey key) {
        return new CallKey(workspace, key);
    }

    @Override
    public String toString() {
        return workspace + "/" + key;
    }
}
