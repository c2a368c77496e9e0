package org.catkinproxy.observe;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.apache.logging.log4j.message.ParameterizedMessage;

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
        String text = ParameterizedMessage.format(event.template(), args);
        LOGGER.log(event.level(), "{} {}", event.number(), text);
    }
}
