package org.catkinproxy.limit;

import java.util.List;

/**
 * The limits that one instance knows, for the other instances.
 *
 * <p>All times are relative to the moment at which the report was made, so that instances need no
 * common clock. Immutable and thread-safe.
 *
 * @param limits the limits, including those that have ended
 */
public record LimitReport(List<RequestLimit> limits) {
    /** Copies the list. */
    public LimitReport {
        limits = List.copyOf(limits);
    }

    /** Returns whether the report says nothing. */
    public boolean isEmpty() {
        return limits.isEmpty();
    }

    /** Returns the report with {@code nanos} added to its times. */
    LimitReport plusNanos(long nanos) {
        return new LimitReport(limits.stream().map(l -> l.plusNanos(nanos)).toList());
    }
}
