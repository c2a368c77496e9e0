package org.catkinproxy.order;

import static com.google.common.base.Preconditions.checkNotNull;

import org.catkinproxy.id.EngineId;
import org.catkinproxy.id.Weights;

import java.util.Locale;

/**
 * One order to one engine; giving it twice is the same as once.
 *
 * <p>Immutable, and so safe for use by any thread.
 *
 * @param engine the engine
 * @param kind what to do
 * @param weights with which weights
 */
public record EngineOrder(EngineId engine, Kind kind, Weights weights) {
    /** Checks that all parts are there. */
    public EngineOrder {
        checkNotNull(engine, "engine");
        checkNotNull(kind, "kind");
        checkNotNull(weights, "weights");
    }

    /** What an engine is to do with weights. */
    public enum Kind {
        LOAD,
        UNLOAD;

        /** Returns the spelling used on the wire. */
        public String wire() {
            return name().toLowerCase(Locale.ROOT);
        }
    }
}
