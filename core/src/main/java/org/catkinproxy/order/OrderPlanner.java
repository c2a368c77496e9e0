package org.catkinproxy.order;

import static com.google.common.base.Preconditions.checkArgument;

import org.catkinproxy.id.EngineId;
import org.catkinproxy.id.Weights;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Plans the orders that bring every engine of a pool to exactly the wanted weights.
 *
 * <p>An engine loads one set of weights at a time. The weights with the fewest copies in the pool
 * are loaded first, so that all wanted weights are soon served by some engine. Wanted weights are
 * loaded before unwanted ones are unloaded: an engine unloads unwanted weights only once it has all
 * wanted weights and runs no generation. A load of unwanted weights is cancelled by an unload order
 * at once. Stateless and thread-safe.
 */
public final class OrderPlanner {
    private OrderPlanner() {}

    /**
     * Returns the orders to give now, possibly none.
     *
     * @param wanted the weights that every engine should have
     * @param engines the status of the engines that answered; only these are given orders
     * @param concurrentLoads the maximum number of loads in progress in the pool, at least 1
     * @param loadsElsewhere the number of loads that may be in progress on engines that did not
     *     answer
     * @param maxNewLoads the number of loads that the rate limit of the weight store lets begin now
     */
    public static List<EngineOrder> plan(
            Set<Weights> wanted,
            List<EngineWeightsStatus> engines,
            int concurrentLoads,
            int loadsElsewhere,
            int maxNewLoads) {
        checkArgument(concurrentLoads >= 1, "concurrentLoads is below 1: %s", concurrentLoads);
        int loading = loadsElsewhere + engines.stream().mapToInt(e -> e.loading().size()).sum();
        int maxOrders = Math.min(concurrentLoads - loading, maxNewLoads);
        List<EngineOrder> orders = new ArrayList<>(planLoads(wanted, engines, maxOrders));
        engines.forEach(e -> orders.addAll(planUnloads(wanted, e)));
        return orders;
    }

    private static List<EngineOrder> planLoads(
            Set<Weights> wanted, List<EngineWeightsStatus> engines, int maxOrders) {
        List<EngineOrder> chosen = new ArrayList<>();
        Set<EngineId> busy = new HashSet<>();
        engines.stream().filter(e -> !e.loading().isEmpty()).forEach(e -> busy.add(e.engine()));
        while (chosen.size() < maxOrders) {
            Optional<EngineOrder> next = nextLoad(wanted, engines, busy, chosen);
            if (next.isEmpty()) {
                break;
            }
            busy.add(next.get().engine());
            chosen.add(next.get());
        }
        return chosen;
    }

    private static Optional<EngineOrder> nextLoad(
            Set<Weights> wanted,
            List<EngineWeightsStatus> engines,
            Set<EngineId> busy,
            Collection<EngineOrder> chosen) {
        Comparator<EngineOrder> fewestCopies =
                Comparator.comparingLong(o -> copyCount(o.weights(), engines, chosen));
        return engines.stream()
                .filter(e -> !busy.contains(e.engine()))
                .flatMap(
                        e ->
                                wanted.stream()
                                        .filter(w -> !e.loaded().contains(w))
                                        .map(w -> loadOrder(e, w)))
                .min(
                        fewestCopies
                                .thenComparing(EngineOrder::engine)
                                .thenComparing(o -> o.weights().toString()));
    }

    private static long copyCount(
            Weights weights, List<EngineWeightsStatus> engines, Collection<EngineOrder> chosen) {
        long present =
                engines.stream()
                        .filter(e -> e.loaded().contains(weights) || e.loading().contains(weights))
                        .count();
        return present + chosen.stream().filter(o -> o.weights().equals(weights)).count();
    }

    private static List<EngineOrder> planUnloads(Set<Weights> wanted, EngineWeightsStatus engine) {
        Set<Weights> unwanted = new HashSet<>(engine.loading());
        if (engine.running() == 0 && engine.loaded().containsAll(wanted)) {
            unwanted.addAll(engine.loaded());
        }
        unwanted.removeAll(wanted);
        return unwanted.stream()
                .sorted(Comparator.comparing(Weights::toString))
                .map(w -> new EngineOrder(engine.engine(), EngineOrder.Kind.UNLOAD, w))
                .toList();
    }

    private static EngineOrder loadOrder(EngineWeightsStatus engine, Weights weights) {
        return new EngineOrder(engine.engine(), EngineOrder.Kind.LOAD, weights);
    }
}
