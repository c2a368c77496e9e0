package org.catkinproxy.admin;

/**
 * The progress of a planned stop.
 *
 * <p>Immutable and thread-safe.
 *
 * @param instance the id of the instance or engine
 * @param state {@code live}, {@code leaving} or {@code left}
 * @param open the number of requests still in progress, as known to the daemon that responds
 */
public record StopView(String instance, String state, int open) {}
