package org.catkinproxy.admin;

/**
 * How far a planned stop has come.
 *
 * <p>Immutable, and so safe for use by any thread.
 *
 * @param instance the instance or engine
 * @param state {@code live}, {@code leaving} or {@code left}
 * @param open how many requests it still has, as far as this daemon knows
 */
public record StopView(String instance, String state, int open) {}
