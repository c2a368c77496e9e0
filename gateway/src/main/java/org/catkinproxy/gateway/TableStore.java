package org.catkinproxy.gateway;

import org.catkinproxy.serving.StorePosition;

import io.reactivex.rxjava3.core.Single;

import java.time.Duration;
import java.util.List;

/**
 * A client of the versioned tables in the platform's store.
 *
 * <p>All results are delivered on the gateway's event loop. A call that fails, or whose outcome is
 * unknown, yields a {@link org.catkinproxy.error.CatkinException}. So does a response of an earlier
 * era than the newest that a response has named, with code {@code OUTDATED_STORE_RESPONSE}: its
 * rows are outdated, and what it acknowledges may be lost.
 */
public interface TableStore {
    /**
     * The result of a read.
     *
     * @param rows the rows, whose versions are of the position's era
     * @param position the position up to which the rows are complete
     */
    record Rows(List<TableRow> rows, StorePosition position) {}

    /** Receives the eras of the store, on the gateway's event loop. */
    interface EraListener {
        /**
         * Called with the era of the first response, and with each later era.
         *
         * @param era the era, higher than those before
         */
        void onNewEra(long era);
    }

    /**
     * Sets the listener that learns of each new era before the result of the call that shows it.
     */
    void setEraListener(EraListener listener);

    /** Reads all rows of a table, which are of one era. */
    Single<Rows> read(String table);

    /** Reads one row; the list is empty if there is none. */
    Single<Rows> readRow(String table, String key);

    /**
     * Waits for changes of a table.
     *
     * @param after the position after which changes are returned
     * @param wait how long the store holds the call open if there is no change
     * @return the changed rows, or an error with code {@code HISTORY_GONE} if the store's history
     *     no longer reaches back to {@code after}, or if it is in a later era
     */
    Single<Rows> changes(String table, StorePosition after, Duration wait);

    /** Writes a row unconditionally and returns its new position. */
    Single<StorePosition> write(String table, String key, byte[] content);

    /**
     * Writes a row if its current version is {@code expected}, 0 for a row that does not exist.
     *
     * @return the row's new position, or an error with code {@code STORE_CONFLICT} if the current
     *     version differs
     */
    Single<StorePosition> writeIf(String table, String key, long expected, byte[] content);

    /** Deletes a row. */
    Single<StorePosition> remove(String table, String key);
}
