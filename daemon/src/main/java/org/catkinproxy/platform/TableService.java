package org.catkinproxy.platform;

import io.reactivex.rxjava3.core.Maybe;
import io.reactivex.rxjava3.core.Single;

import java.util.List;

/**
 * The platform's transactional table service.
 *
 * <p>Every failure is a {@link org.catkinproxy.error.CatkinException} with code {@code
 * STORE_UNAVAILABLE}; a failed write has outcome {@code UNKNOWN} unless no connection could be
 * made. Implementations are safe for use by any thread.
 */
public interface TableService {
    /** Reads one row; empty if there is none. */
    Maybe<TableRow> get(String table, String key);

    /**
     * Reads rows in the order of their keys.
     *
     * @param prefix how the keys begin
     * @param afterKey the last key of the page before, empty for the first page
     * @param limit the most rows to return
     */
    Single<List<TableRow>> scan(String table, String prefix, String afterKey, int limit);

    /**
     * Writes all rows or none.
     *
     * <p>Fails with code {@code STORE_CONFLICT} and outcome {@code NOT_RUN} if a row is not at the
     * version that its write expects.
     *
     * @return the new versions, in the order of the writes
     */
    Single<List<Long>> transact(List<RowWrite> writes);
}
