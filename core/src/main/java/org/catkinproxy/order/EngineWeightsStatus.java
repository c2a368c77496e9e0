package org.catkinproxy.order;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import org.catkinproxy.id.EngineId;
import org.catkinproxy.id.FencingNumber;
import org.catkinproxy.id.Weights;

import java.util.Set;

/**
 * The weights that an engine reports to have, read before orders are planned.
 *
 * <p>Immutable and thread-safe.
 *
 * @param engine the engine
 * @param fencingNumber the highest fencing number that the engine has seen
 * @param loaded the weights that are ready to serve requests
 * @param loading the weights that are being loaded
 * @param running the number of generations in progress, on any weights
 */
public record EngineWeightsStatus(
        EngineId engine,
        FencingNumber fencingNumber,
        Set<Weights> loaded,
        Set<Weights> loading,
        int running) {
    /** Copies the sets and checks the components. */
    public EngineWeightsStatus {
        checkNotNull(engine, "engine");
        checkNotNull(fencingNumber, "fencingNumber");
        loaded = Set.copyOf(loaded);
        loading = Set.copyOf(loading);
        checkArgument(running >= 0, "running is negative: %s", running);
    }
}
