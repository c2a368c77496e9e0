package org.catkinproxy.route;

import org.catkinproxy.cache.BlockIndex;
import org.catkinproxy.id.EngineId;
import org.catkinproxy.id.PoolId;
import org.catkinproxy.id.Weights;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The engines that this router knows, by id, by number, and by the pool and weights that they
 * serve.
 *
 * <p>An engine that has sent no report for a long time and has no request in flight is removed, and
 * its number is reused. Iteration is in the order of the ids. When an engine starts or stops
 * serving some weights, the groups are rebuilt in time linear in the engines. Not thread-safe.
 */
final class EngineTable {
    private final Map<EngineId, EngineState> mById = new TreeMap<>();
    private final List<EngineState> mByNumber = new ArrayList<>();
    private final ArrayDeque<Integer> mFreeNumbers = new ArrayDeque<>();
    private final Map<ServingKey, EngineGroups> mGroups = new HashMap<>();
    private final BlockIndex mIndex;

    /** The pool and the weights that a request requires. */
    private record ServingKey(PoolId pool, Weights weights) {}

    EngineTable(BlockIndex index) {
        mIndex = index;
    }

    Collection<EngineState> all() {
        return mById.values();
    }

    /** Returns the engine with this id, or null. */
    EngineState get(EngineId id) {
        return mById.get(id);
    }

    /** Returns the engine with this number, or null if the number is free. */
    EngineState byNumber(int number) {
        return mByNumber.get(number);
    }

    EngineState getOrAdd(long nowNanos, EngineId id) {
        EngineState engine = mById.get(id);
        return engine != null ? engine : add(nowNanos, id);
    }

    /** Applies a load report to its engine, which is added if it is unknown. */
    void applyReport(long nowNanos, EngineReport report) {
        EngineState engine = getOrAdd(nowNanos, report.engine());
        EngineReport previous = engine.report();
        engine.applyReport(nowNanos, report);
        boolean same =
                previous != null
                        && previous.pool().equals(engine.report().pool())
                        && previous.weights().equals(engine.report().weights());
        if (!same) {
            mGroups.clear();
        }
    }

    /** Returns the engines of the pool that have the weights loaded, whether routable or not. */
    EngineGroups groupsServing(PoolId pool, Weights weights) {
        return mGroups.computeIfAbsent(
                new ServingKey(pool, weights),
                key ->
                        EngineGroups.of(
                                mById.values().stream()
                                        .filter(e -> e.serves(pool, weights))
                                        .toList()));
    }

    /** Removes the engines that are expired and frees their numbers. */
    void removeExpired(long nowNanos) {
        List<EngineState> expired =
                mById.values().stream().filter(e -> e.isExpired(nowNanos)).toList();
        for (EngineState engine : expired) {
            mById.remove(engine.id());
            mIndex.clear(engine.number());
            mByNumber.set(engine.number(), null);
            mFreeNumbers.addLast(engine.number());
            mGroups.clear();
        }
    }

    private EngineState add(long nowNanos, EngineId id) {
        if (mFreeNumbers.isEmpty()) {
            mFreeNumbers.addLast(mByNumber.size());
            mByNumber.add(null);
        }
        int number = mFreeNumbers.removeFirst();
        EngineState engine = new EngineState(id, number, mIndex, nowNanos);
        mById.put(id, engine);
        mByNumber.set(number, engine);
        return engine;
    }
}
