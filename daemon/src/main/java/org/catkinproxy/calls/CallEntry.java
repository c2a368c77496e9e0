package org.catkinproxy.calls;

import static com.google.common.base.Preconditions.checkNotNull;

import org.catkinproxy.call.CallRecord;
import org.catkinproxy.call.CallState;
import org.catkinproxy.id.CallKey;

/**
 * A call's row, together with its key.
 *
 * <p>Immutable, and so safe for use by any thread.
 *
 * @param key the key of the call
 * @param version the version of its row
 * @param record the content of its row
 */
public record CallEntry(CallKey key, long version, CallRecord record) {
    /** Checks that no component is null. */
    public CallEntry {
        checkNotNull(key, "key");
        checkNotNull(record, "record");
    }

    /** Returns whether the call's outcome is unknown. */
    public boolean isOpen() {
        return record.state() == CallState.CLAIMED;
    }
}
