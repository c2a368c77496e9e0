package org.catkinproxy.operator;

import org.catkinproxy.admin.ExplainRouteRequest;
import org.catkinproxy.admin.RouteView;

import io.reactivex.rxjava3.core.Single;

/**
 * Tells where a prompt would go, without sending it.
 *
 * <p>Failures are of type {@link org.catkinproxy.error.CatkinException}. Implementations are safe
 * for use by any thread.
 */
public interface RouteExplainer {
    /** Explains the route that the prompt would take now. */
    Single<RouteView> explain(ExplainRouteRequest request);
}
