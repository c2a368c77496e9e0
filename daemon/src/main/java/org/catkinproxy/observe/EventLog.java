package org.catkinproxy.observe;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Writes numbered events to the process's log.
 *
 * <p>Stateless; safe for use by any thread.
 */
public final class EventLog {
    private static final Logger LOGGER = LogManager.getLogger("catkinproxy");

    private EventLog() {}

    /** Writes one event; {@code args} fill its template. */
    public static void log(LogEvent event, Object... args) {
        if (LOGGER.isEnabled(event.level())) {
            LOGGER.log(event.level(), EventMessage.of(event, args));
        }
    }
}
