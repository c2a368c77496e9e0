package org.catkinproxy.order;

import static com.google.common.base.Preconditions.checkNotNull;

import org.catkinproxy.id.EngineId;
import org.catkinproxy.id.Weights;

import java.util.Locale;

/**
 * An idempotent order to one engine to load or unload weights.
 *
 * <p>Immutable and thread-safe.
 *
 * @param engine the engine
 * @param kind whether to load or to unload
 * @param weights the weights to load or unload
 */
public record EngineOrder(EngineId engine, Kind kind, Weights weights) {
    /** Checks that no component is null. */
    public EngineOrder {
        checkNotNull(engine, "engine");
        checkNotNull(kind, "kind");
        checkNotNull(weights, "weights");
    }

    /** Whether an engine loads or unloads the weights. */
    public enum Kind {
        LOAD,
        UNLOAD;

        /** Returns the spelling used on the wire. */
        public String wireName() {
            return name().toLowerCase(Locale.ROOT);
        }
    }
}
