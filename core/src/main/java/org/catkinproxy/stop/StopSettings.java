package org.catkinproxy.stop;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The time limits of a planned stop, in milliseconds.
 *
 * <p>Immutable and thread-safe.
 *
 * @param entryListTtlMillis how long callers may cache an entry list that contains this instance
 * @param maxPropagationMillis the maximum time until all peers know of the stop
 * @param handOverTimeoutMillis the timeout of the hand-over
 */
public record StopSettings(
        long entryListTtlMillis, long maxPropagationMillis, long handOverTimeoutMillis) {
    /** The settings of an instance that does not configure its own. */
    public static final StopSettings DEFAULT = new StopSettings(10_000, 5_000, 5_000);

    /** Checks that no time is negative. */
    public StopSettings {
        checkArgument(
                entryListTtlMillis >= 0, "entryListTtlMillis is negative: %s", entryListTtlMillis);
        checkArgument(
                maxPropagationMillis >= 0,
                "maxPropagationMillis is negative: %s",
                maxPropagationMillis);
        checkArgument(
                handOverTimeoutMillis >= 0,
                "handOverTimeoutMillis is negative: %s",
                handOverTimeoutMillis);
    }
}
