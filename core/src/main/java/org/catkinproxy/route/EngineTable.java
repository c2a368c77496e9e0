package org.catkinproxy.route;

import org.catkinproxy.cache.BlockIndex;
import org.catkinproxy.id.EngineId;

import java.util.Collection;
import java.util.Map;
import java.util.TreeMap;

/**
 * All engines that this router has heard of, by id and by their number in the index.
 *
 * <p>Iteration is in the order of the ids. Not safe for use by several threads.
 */
final class EngineTable {
    private final Map<EngineId, EngineState> mById = new TreeMap<>();
    private final BlockIndex mIndex;

    EngineTable(BlockIndex index) {
        mIndex = index;
    }

    Collection<EngineState> all() {
        return mById.values();
    }

    /** Returns the engine's state, or null. */
    EngineState get(EngineId id) {
        return mById.get(id);
    }

    EngineState getOrAdd(EngineId id) {
        return mById.computeIfAbsent(id, i -> new EngineState(i, mById.size(), mIndex));
    }
}
