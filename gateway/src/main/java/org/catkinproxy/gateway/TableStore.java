package org.catkinproxy.gateway;

import io.reactivex.rxjava3.core.Single;

import java.time.Duration;
import java.util.List;

/**
 * The tables of the platform's store.
 *
 * <p>Each result comes on the gateway's event loop, as an error of type {@link
 * org.catkinproxy.error.CatkinException} if the store did not do or answer what was asked.
 */
public interface TableStore {
    /**
     * Rows as of one moment.
     *
     * @param rows the rows
     * @param version the version up to which they tell all
     */
    record Rows(List<TableRow> rows, long version) {}

    /** Reads a whole table. */
    Single<Rows> read(String table);

    /** Reads one row; the list is empty if there is none. */
    Single<Rows> readRow(String table, String key);

    /**
     * Waits for changes of a table.
     *
     * @param after the version up to which the changes are known
     * @return the changed rows, or an error with code {@code HISTORY_GONE} if the history no longer
     *     reaches back to {@code after}
     */
    Single<Rows> changes(String table, long after, Duration wait);

    /** Writes a row, whatever it was; returns the row's new version. */
    Single<Long> write(String table, String key, byte[] content);

    /**
     * Writes a row if it is at version {@code expected}, 0 for a row that does not exist.
     *
     * @return the row's new version, or an error with code {@code STORE_CONFLICT} if it is at
     *     another
     */
    Single<Long> writeIf(String table, String key, long expected, byte[] content);

    /** Removes a row. */
    Single<Long> remove(String table, String key);
}
