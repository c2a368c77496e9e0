package org.catkinproxy.orders;

import org.catkinproxy.id.FencingNumber;
import org.catkinproxy.id.Revision;
import org.catkinproxy.order.EngineOrder;
import org.catkinproxy.order.EngineWeightsStatus;

import io.reactivex.rxjava3.core.Single;

/**
 * Asks engines for their state and gives them orders.
 *
 * <p>Failures are {@link org.catkinproxy.error.CatkinException}s: {@code STALE_ORDER} if the engine
 * has seen a higher fencing number, else {@code ENGINE_UNREACHABLE}. Implementations are safe for
 * use by any thread.
 */
public interface EngineControl {
    /** Asks an engine for its state. */
    Single<EngineWeightsStatus> state(OrderTarget target);

    /** Gives an engine an order; returns the state that it answers. */
    Single<EngineWeightsStatus> order(
            OrderTarget target, EngineOrder order, FencingNumber fencing, Revision revision);
}
