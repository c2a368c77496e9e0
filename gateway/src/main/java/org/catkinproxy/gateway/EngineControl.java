package org.catkinproxy.gateway;

import org.catkinproxy.id.FencingNumber;
import org.catkinproxy.id.InstanceId;
import org.catkinproxy.serving.Upstream;
import org.catkinproxy.serving.VersionRollout;

import io.reactivex.rxjava3.core.Single;

/** Asks engines for their state and orders them to change weights. Used by the event loop only. */
public interface EngineControl {
    /** What an engine answered to an order. */
    enum OrderAnswer {
        /** It carries the order out. */
        ACCEPTED,
        /** It has the weights already. */
        HOLDS,
        /** It is busy, or its count of orders is another. */
        CONFLICT,
        /** It will not carry out this order. */
        REFUSED
    }

    /** Asks an engine for its state. */
    Single<VersionRollout.EngineReport> report(Upstream engine);

    /** Orders an engine to change weights as soon as its running requests are done. */
    Single<OrderAnswer> order(
            VersionRollout.Step.Order order, InstanceId holder, FencingNumber fence);
}
