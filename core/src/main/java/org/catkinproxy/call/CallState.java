package org.catkinproxy.call;

import java.util.Locale;

/** The state of a call, as recorded in its row. Immutable. */
public enum CallState {
    /** An attempt owns the call and may have sent the request; the outcome is unknown. */
    CLAIMED,
    /** The last attempt gave up without sending the request; another attempt may claim the call. */
    RELEASED,
    /** The call has run and its response is recorded. */
    DONE,
    /** An operator determined whether the call has run. */
    RESOLVED;

    /** Returns the value of the state in stored rows. */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
