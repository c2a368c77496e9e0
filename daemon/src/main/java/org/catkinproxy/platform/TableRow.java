package org.catkinproxy.platform;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * A row of a table as it was read.
 *
 * <p>Immutable, and so safe for use by any thread.
 *
 * @param key the row's key
 * @param version the row's version, 1 or more; every write raises it
 * @param value the row's content, a JSON text
 */
public record TableRow(String key, long version, String value) {
    /** Checks that all parts are there. */
    public TableRow {
        checkNotNull(key, "key");
        checkNotNull(value, "value");
    }
}
