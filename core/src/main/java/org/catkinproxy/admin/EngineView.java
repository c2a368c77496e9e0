package org.catkinproxy.admin;

import java.util.List;

/**
 * An engine as this daemon sees it.
 *
 * <p>Immutable, and so safe for use by any thread.
 *
 * @param engine the engine
 * @param pool its pool
 * @param state {@code live}, {@code leaving}, {@code silent} or {@code unknown}
 * @param incarnation the start it last reported
 * @param running how many requests it computes
 * @param queued how many wait in it
 * @param slots how many it can compute at the same time
 * @param ageMillis how old its last report is
 * @param weights the weights that it has loaded
 */
public record EngineView(
        String engine,
        String pool,
        String state,
        String incarnation,
        int running,
        int queued,
        int slots,
        long ageMillis,
        List<String> weights) {}
