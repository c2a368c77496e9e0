package org.catkinproxy.stop;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The times of a planned stop.
 *
 * <p>Immutable, and so safe for use by any thread.
 *
 * @param entriesTtlMillis how long callers may keep an answer that names this instance
 * @param spreadMillis the longest time in which peers learn of the stop
 * @param handOverMillis the longest time for handing over
 */
public record StopSettings(long entriesTtlMillis, long spreadMillis, long handOverMillis) {
    /** What an instance uses unless its settings say otherwise. */
    public static final StopSettings DEFAULT = new StopSettings(10_000, 5_000, 5_000);

    /** Checks the ranges. */
    public StopSettings {
        checkArgument(entriesTtlMillis >= 0, "entriesTtlMillis: %s", entriesTtlMillis);
        checkArgument(spreadMillis >= 0, "spreadMillis: %s", spreadMillis);
        checkArgument(handOverMillis >= 0, "handOverMillis: %s", handOverMillis);
    }
}
