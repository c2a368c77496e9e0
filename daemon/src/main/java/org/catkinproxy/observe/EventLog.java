package org.catkinproxy.observe;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

import java.util.concurrent.atomic.AtomicLongArray;

/**
 * Writes numbered events to the process's log.
 *
 * <p>Its only state is how often each event was written. Safe for use by any thread.
 */
public final class EventLog {
    private static final Logger LOGGER = LogManager.getLogger("catkinproxy");

    private static final AtomicLongArray COUNTS = new AtomicLongArray(LogEvent.values().length);

    private EventLog() {}

    /** Writes one event; {@code args} fill its template. */
    public static void log(LogEvent event, Object... args) {
        COUNTS.incrementAndGet(event.ordinal());
        if (LOGGER.isEnabled(event.level())) {
            LOGGER.log(event.level(), EventMessage.of(event, args));
        }
    }

    /** Returns how often this process has come upon an event, whether or not it was written. */
    static long count(LogEvent event) {
        return COUNTS.get(event.ordinal());
    }
}
