package org.catkinproxy.route;

import java.util.Locale;

/** How an engine is chosen among those that are fit. Immutable. */
public enum RoutingPolicy {
    /** Weighs cached prefixes first, as long as the wait stays bearable. */
    HIT_FIRST,
    /** Weighs the expected time to the first token first. */
    TAIL_FIRST;

    /** Returns the spelling used in settings. */
    public String wire() {
        return name().toLowerCase(Locale.ROOT);
    }
}
