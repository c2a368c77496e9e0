package org.catkinproxy.gateway;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;

/**
 * One row of a table of the platform's store.
 *
 * <p>Immutable as long as nobody changes the content's bytes.
 *
 * @param key the row's key
 * @param version the version that its last change gave it
 * @param content the content, empty if the row was removed
 */
public record TableRow(String key, long version, Optional<byte[]> content) {
    /** Checks that all parts are there. */
    public TableRow {
        checkNotNull(key, "key");
        checkNotNull(content, "content");
    }
}
