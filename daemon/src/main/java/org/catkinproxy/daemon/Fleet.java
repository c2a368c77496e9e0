package org.catkinproxy.daemon;

import org.catkinproxy.caller.ServicePoolDirectory;
import org.catkinproxy.calls.ServiceInstance;
import org.catkinproxy.config.Configuration;
import org.catkinproxy.config.PoolMember;
import org.catkinproxy.id.EngineId;
import org.catkinproxy.id.PoolId;
import org.catkinproxy.member.InstanceKind;
import org.catkinproxy.member.MemberState;
import org.catkinproxy.member.MembershipView;
import org.catkinproxy.orders.OrderTarget;
import org.catkinproxy.upstream.EngineEndpoint;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The upstreams of the configuration's pools, as far as membership knows where they are.
 *
 * <p>Immutable, and so safe for use by any thread; a new one replaces it when either changes.
 */
final class Fleet implements ServicePoolDirectory {
    private final List<EngineEndpoint> mEngines = new ArrayList<>();
    private final Map<PoolId, List<ServiceInstance>> mServices = new HashMap<>();

    private Fleet(MembershipView view, Configuration configuration) {
        for (PoolMember member : configuration.members()) {
            view.find(member.instance()).ifPresent(state -> add(state, member.pool()));
        }
    }

    static Fleet of(MembershipView view, Configuration configuration) {
        return new Fleet(view, configuration);
    }

    List<EngineEndpoint> engines() {
        return mEngines;
    }

    /** Returns the engines of a pool that may be given orders: those that are not leaving. */
    List<OrderTarget> orderTargets(PoolId pool) {
        return mEngines.stream()
                .filter(e -> e.pool().equals(pool) && !e.leaving())
                .map(e -> new OrderTarget(e.engine(), e.address()))
                .toList();
    }

    @Override
    public List<ServiceInstance> instances(PoolId pool) {
        return mServices.getOrDefault(pool, List.of());
    }

    private void add(MemberState state, PoolId pool) {
        if (state.info().kind() == InstanceKind.ENGINE) {
            mEngines.add(
                    new EngineEndpoint(
                            EngineId.of(state.info().id().value()),
                            state.info().address(),
                            pool,
                            state.leaving()));
        } else if (state.info().kind() == InstanceKind.SERVICE && state.isUsable()) {
            mServices
                    .computeIfAbsent(pool, p -> new ArrayList<>())
                    .add(new ServiceInstance(state.info().id(), state.info().address()));
        }
    }
}
