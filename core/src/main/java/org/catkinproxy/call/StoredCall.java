package org.catkinproxy.call;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * A call's row with its version, as read from the store.
 *
 * <p>Immutable and thread-safe.
 *
 * @param version the version of the row, which every write increases
 * @param record the content of the row
 */
public record StoredCall(long version, CallRecord record) {
    /** The version that a writer expects of a row that does not exist. */
    public static final long ABSENT_VERSION = 0;

    /** Checks that the version is positive. */
    public StoredCall {
        checkArgument(version > ABSENT_VERSION, "version is not positive: %s", version);
        checkNotNull(record, "record");
    }
}
