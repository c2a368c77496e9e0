package org.catkinproxy.admin;

import java.util.List;

/**
 * The state of an engine as known to the daemon that responds.
 *
 * <p>Immutable and thread-safe.
 *
 * @param engine the id of the engine
 * @param pool the id of its pool
 * @param state {@code live}, {@code leaving}, {@code silent} or {@code unknown}
 * @param incarnation the incarnation that the engine last reported
 * @param running the number of requests that the engine is computing
 * @param queued the number of requests in the queue of the engine
 * @param slots the number of requests that the engine can compute concurrently
 * @param ageMillis the age of its last report, in milliseconds
 * @param weights the weights that the engine has loaded, as {@code model/adapter@version}
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
