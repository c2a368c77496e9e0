package org.catkinproxy.order;

import java.util.Optional;

/** An event that {@link LeaseStateMachine} handles. Immutable and thread-safe. */
public sealed interface LeaseEvent {
    /** Time has passed; sent periodically. */
    record Tick() implements LeaseEvent {}

    /**
     * The row should be read without an attempt to acquire the lease, so that one that stays
     * unchanged can be taken over without a wait later.
     */
    record Observe() implements LeaseEvent {}

    /**
     * The store has named its era, in a response to any call.
     *
     * @param era the era, which rises when the store comes back from a copy; 0 for a store that
     *     never does
     */
    record EraObserved(long era) implements LeaseEvent {}

    /**
     * The row was read; empty if it does not exist.
     *
     * @param era the era of the store in which it was read
     */
    record RowRead(long era, Optional<StoredLease> row) implements LeaseEvent {}

    /**
     * The write took effect.
     *
     * @param era the era of the store in which it did
     * @param version the version that the row has now
     */
    record RowWritten(long era, long version) implements LeaseEvent {}

    /** The write had no effect because the row was not at the expected version. */
    record WriteConflict() implements LeaseEvent {}

    /** The read failed, or the write failed and may still have taken effect or do so later. */
    record StoreFailed() implements LeaseEvent {}

    /** An engine rejected an order because it has seen a higher fencing number. */
    record Superseded() implements LeaseEvent {}
}
