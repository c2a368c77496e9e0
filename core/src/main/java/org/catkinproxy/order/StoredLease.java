package org.catkinproxy.order;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * A lease's row together with its version in the store.
 *
 * <p>Immutable and thread-safe.
 *
 * @param version the row's version, positive; each write increases it
 * @param row the content
 */
public record StoredLease(long version, LeaseRow row) {
    /** The expected version of a write that creates the row. */
    public static final long ABSENT_VERSION = 0;

    /** Checks that the version is positive and the row is not null. */
    public StoredLease {
        checkArgument(version > ABSENT_VERSION, "version is not positive: %s", version);
        checkNotNull(row, "row");
    }
}
