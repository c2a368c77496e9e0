package org.catkinproxy.call;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * An operator's statement whether a call of unknown outcome has run, kept as an audit record.
 *
 * <p>Immutable and thread-safe.
 *
 * @param ran whether the call has run
 * @param note the evidence for it
 * @param operator the name of the operator
 * @param resolvedMillis when the operator resolved the call, in milliseconds since the Unix epoch
 */
public record CallResolution(boolean ran, String note, String operator, long resolvedMillis) {
    /** Checks that no component is null. */
    public CallResolution {
        checkNotNull(note, "note");
        checkNotNull(operator, "operator");
    }
}
