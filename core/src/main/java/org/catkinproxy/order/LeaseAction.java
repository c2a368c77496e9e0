package org.catkinproxy.order;

/**
 * An action that {@link LeaseStateMachine} asks its owner to perform.
 *
 * <p>The owner reports the result of each action by exactly one event. Immutable and thread-safe.
 */
public sealed interface LeaseAction {
    /** Returns the era of the store whose row of the lease is meant: each era has its own. */
    long era();

    /** Reads the lease's row. */
    record ReadRow(long era) implements LeaseAction {}

    /**
     * Writes the lease's row if it is at the expected version.
     *
     * @param expectedVersion the version to replace, {@link StoredLease#ABSENT_VERSION} to create
     *     the row
     * @param row the new content
     */
    record WriteRow(long era, long expectedVersion, LeaseRow row) implements LeaseAction {}
}
