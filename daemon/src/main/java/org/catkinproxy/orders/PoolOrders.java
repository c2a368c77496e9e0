package org.catkinproxy.orders;

import org.catkinproxy.config.Pool;
import org.catkinproxy.id.EngineId;
import org.catkinproxy.id.FencingNumber;
import org.catkinproxy.id.Weights;
import org.catkinproxy.order.EngineOrder;
import org.catkinproxy.order.EngineWeightsStatus;
import org.catkinproxy.order.LeaseStateMachine;
import org.catkinproxy.order.OrderPlanner;
import org.catkinproxy.order.WeightLoadRateLimiter;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.UUID;
import java.util.stream.Collectors;

/**
 * What one instance knows of the orders to one pool.
 *
 * <p>Not safe for use by several threads; belongs to the task.
 */
final class PoolOrders {
    /** A load at an engine that can not be asked counts this long. */
    private static final long LOAD_MEMORY_NANOS = 30_000_000_000L;

    private final LeaseStateMachine mLease;
    private final WeightLoadRateLimiter mRate;
    private final long mWaitNanos;
    private final Map<EngineId, Long> mLoadOrderedAt = new HashMap<>();
    private boolean mInRound;

    PoolOrders(OrderSettings settings, Pool pool, long now) {
        String session = UUID.randomUUID().toString();
        mLease = LeaseStateMachine.of(settings.self(), session, settings.leaseTtl());
        mRate = WeightLoadRateLimiter.of(settings.loadsPerSecond(), pool.maxConcurrentLoads(), now);
        mWaitNanos = settings.leaseTtl().plus(settings.orderTimeout()).toNanos();
    }

    LeaseStateMachine lease() {
        return mLease;
    }

    /** Begins a round of orders, unless one is going on or none may be given now. */
    boolean beginRound(Pool pool, long now) {
        boolean may = !mInRound && mayOrder(pool, now).isPresent();
        mInRound |= may;
        return may;
    }

    void endRound() {
        mInRound = false;
    }

    /**
     * Returns the number under which orders may be given.
     *
     * <p>Engines that ignore the number may still obey an earlier holder's last orders; a new
     * holder waits until none can be under way, and then reads back what the engines have.
     */
    Optional<FencingNumber> mayOrder(Pool pool, long now) {
        boolean settled = pool.checksFencing() || now - mLease.heldSince() >= mWaitNanos;
        return mLease.heldFencingNumber(now).filter(n -> settled);
    }

    /** Returns the orders that are due, given what the engines that answered said. */
    List<EngineOrder> plan(
            Pool pool, Set<Weights> wanted, List<EngineWeightsStatus> states, long now) {
        Set<EngineId> answered =
                states.stream().map(EngineWeightsStatus::engine).collect(Collectors.toSet());
        mLoadOrderedAt
                .entrySet()
                .removeIf(
                        e ->
                                answered.contains(e.getKey())
                                        || now - e.getValue() > LOAD_MEMORY_NANOS);
        return OrderPlanner.plan(
                wanted,
                states,
                pool.maxConcurrentLoads(),
                mLoadOrderedAt.size(),
                mRate.availableLoads(now));
    }

    /** Notes that an order is given. */
    void note(EngineOrder order, long now) {
        if (order.kind() == EngineOrder.Kind.LOAD) {
            mLoadOrderedAt.put(order.engine(), now);
            mRate.recordLoad();
        }
    }
}
