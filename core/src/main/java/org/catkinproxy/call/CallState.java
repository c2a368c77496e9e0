package org.catkinproxy.call;

import java.util.Locale;

/** Where a call stands, as its row in the table says. Immutable. */
public enum CallState {
    /** An attempt owns the call and may have sent it; the outcome is unknown. */
    CLAIMED,
    /** The attempt gave the call up without sending it; another may claim it. */
    RELEASED,
    /** The call ran and its answer is recorded. */
    DONE,
    /** An operator settled the call. */
    RESOLVED;

    /** Returns the spelling used in rows. */
    public String wire() {
        return name().toLowerCase(Locale.ROOT);
    }
}
