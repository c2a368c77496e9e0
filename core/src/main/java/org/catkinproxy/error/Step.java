package org.catkinproxy.error;

import java.util.Locale;

/** The processing step in which an error occurred. Immutable. */
public enum Step {
    SETTINGS,
    AUTHENTICATE,
    PARSE,
    ADMIT,
    ROUTE,
    SEND,
    STREAM,
    RESUME,
    CLAIM,
    RECORD,
    CONFIGURE,
    ORDER,
    GOSSIP,
    STORE,
    STOP;

    /** Returns the name used in error bodies and logs. */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
