package org.catkinproxy.config;

import java.util.Locale;

/** The priority of a queued request, from the highest to the lowest. Immutable. */
public enum Priority {
    /** The highest priority, for urgent requests. */
    ALARM,
    /** The default priority. */
    NORMAL,
    /** The lowest priority, for requests that tolerate a delay but must not starve. */
    DRAFT;

    /** Returns the name used in sheets and on the wire. */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
