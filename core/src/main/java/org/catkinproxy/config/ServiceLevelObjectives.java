package org.catkinproxy.config;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The service-level objectives of a workspace, against which the burn report measures.
 *
 * <p>Immutable and thread-safe.
 *
 * @param firstTokenMillis the target for the time to first token, in milliseconds
 * @param firstTokenShare the target share of requests whose first token is in time, between 0 and 1
 * @param availability the target share of requests answered completely, between 0 and 1
 * @param hitRate the target share of prompt tokens served from a cache, between 0 and 1
 */
public record ServiceLevelObjectives(
        int firstTokenMillis, double firstTokenShare, double availability, double hitRate) {
    /** The objectives that apply if the sheet does not specify any. */
    public static final ServiceLevelObjectives DEFAULT =
            new ServiceLevelObjectives(380, 0.95, 0.999, 0.5);

    /** Checks that the components are in range. */
    public ServiceLevelObjectives {
        checkArgument(
                firstTokenMillis > 0, "firstTokenMillis is not positive: %s", firstTokenMillis);
        checkShare("firstTokenShare", firstTokenShare);
        checkShare("availability", availability);
        checkShare("hitRate", hitRate);
    }

    private static void checkShare(String name, double value) {
        checkArgument(value >= 0 && value <= 1, "%s is not between 0 and 1: %s", name, value);
    }
}
