package org.catkinproxy.route;

import org.catkinproxy.id.EngineId;

import java.util.Set;

/**
 * A request that is queued in this router.
 *
 * <p>Owned by the dispatcher's task; not thread-safe.
 */
final class QueuedRequest {
    final RouteRequest mRequest;
    final Set<EngineId> mExcludedEngines;
    final long mArrivedNanos;

    /** The latest estimate of the prompt tokens that an engine will have to compute for it. */
    long mCostTokens;

    QueuedRequest(RouteRequest request, Set<EngineId> excludedEngines, long arrivedNanos) {
        mRequest = request;
        mExcludedEngines = excludedEngines;
        mArrivedNanos = arrivedNanos;
        mCostTokens = request.blocks().promptTokens();
    }
}
