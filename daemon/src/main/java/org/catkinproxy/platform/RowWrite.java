package org.catkinproxy.platform;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * One conditional write of a transaction.
 *
 * <p>Immutable, and so safe for use by any thread.
 *
 * @param table the table
 * @param key the row's key
 * @param expectedVersion the version the row must have, {@link #ABSENT} for a new row
 * @param value the row's new content, a JSON text
 */
public record RowWrite(String table, String key, long expectedVersion, String value) {
    /** The expected version of a row that must not exist yet. */
    public static final long ABSENT = 0;

    /** Checks that all parts are there. */
    public RowWrite {
        checkNotNull(table, "table");
        checkNotNull(key, "key");
        checkNotNull(value, "value");
    }

    /** Returns a write that succeeds only if there is no such row. */
    public static RowWrite insert(String table, String key, String value) {
        return new RowWrite(table, key, ABSENT, value);
    }

    /** Returns a write that succeeds only if the row is as it was read. */
    public static RowWrite update(String table, TableRow read, String value) {
        return new RowWrite(table, read.key(), read.version(), value);
    }
}
