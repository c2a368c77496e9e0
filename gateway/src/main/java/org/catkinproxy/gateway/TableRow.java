package org.catkinproxy.gateway;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;

/**
 * A row of a table in the platform's store.
 *
 * <p>Immutable, provided that the content's array is not modified.
 *
 * @param key the key, unique within the table
 * @param version the version of the row's last change
 * @param content the content, empty if the row was deleted
 */
public record TableRow(String key, long version, Optional<byte[]> content) {
    /** Checks that no component is null. */
    public TableRow {
        checkNotNull(key, "key");
        checkNotNull(content, "content");
    }
}
