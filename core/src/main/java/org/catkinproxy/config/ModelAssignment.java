package org.catkinproxy.config;

import static com.google.common.base.Preconditions.checkNotNull;

import org.catkinproxy.id.PoolId;
import org.catkinproxy.id.Weights;
import org.catkinproxy.id.WorkspaceId;

/**
 * The assignment of a model to a workspace: the weights that serve it and the pool of engines.
 *
 * <p>Immutable and thread-safe.
 *
 * @param workspace the workspace whose requests are served
 * @param weights the weights that serve the requests; callers request them by the model's name
 * @param pool the pool whose engines have the weights
 */
public record ModelAssignment(WorkspaceId workspace, Weights weights, PoolId pool) {
    /** Checks that no component is null. */
    public ModelAssignment {
        checkNotNull(workspace, "workspace");
        checkNotNull(weights, "weights");
        checkNotNull(pool, "pool");
    }
}
