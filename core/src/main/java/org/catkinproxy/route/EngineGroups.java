package org.catkinproxy.route;

import org.catkinproxy.id.BlockKey;

import java.util.ArrayList;
import java.util.List;

/**
 * The engines of one pool that serve the same weights, partitioned into groups by their ids.
 *
 * <p>The candidates for a prompt are the engines of the group that its first block selects, and the
 * engines that hold a part of the prompt, so that the time of a decision does not depend on the
 * number of engines. If no engine of a group is eligible, the next group is used, which costs a
 * scan of both. The group of an engine depends only on its id and the number of groups, so that all
 * routers agree. Immutable except for the engines' states, which the dispatcher's task owns.
 */
final class EngineGroups {
    /** The number of engines up to which there is only one group. */
    private static final int MAX_GROUP_SIZE = 32;

    private final List<List<EngineState>> mGroups;

    private EngineGroups(List<List<EngineState>> groups) {
        mGroups = groups;
    }

    /**
     * Returns the groups of {@code engines}; each group keeps their order.
     *
     * @param engines the engines, in the order of their ids
     */
    static EngineGroups of(List<EngineState> engines) {
        int count = 1;
        while (count * MAX_GROUP_SIZE < engines.size()) {
            count *= 2;
        }
        List<List<EngineState>> groups = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            groups.add(new ArrayList<>());
        }
        for (EngineState engine : engines) {
            groups.get((int) (engine.idHash() & (count - 1))).add(engine);
        }
        return new EngineGroups(groups);
    }

    int count() {
        return mGroups.size();
    }

    /**
     * Returns the engines, in the order of their ids, of the group that is {@code offset} places
     * after the one that a routing key selects, wrapping around.
     */
    List<EngineState> group(BlockKey routingKey, int offset) {
        return mGroups.get((int) (routingKey.low() + offset & (mGroups.size() - 1)));
    }
}
