package org.catkinproxy.order;

import static com.google.common.base.Preconditions.checkNotNull;

import org.catkinproxy.id.FencingNumber;
import org.catkinproxy.id.InstanceId;

/**
 * The content of a lease's row in the store.
 *
 * <p>Immutable and thread-safe.
 *
 * @param holder the instance that holds the lease, or held it last
 * @param session identifies the holder's process; each start of an instance has a new session
 * @param fencingNumber the fencing number, which each new holder increases
 * @param writeNumber the sequence number of the write within the session, which makes each written
 *     row unique
 */
public record LeaseRow(
        InstanceId holder, String session, FencingNumber fencingNumber, long writeNumber) {
    /** Checks that no component is null. */
    public LeaseRow {
        checkNotNull(holder, "holder");
        checkNotNull(session, "session");
        checkNotNull(fencingNumber, "fencingNumber");
    }
}
