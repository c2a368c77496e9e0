package org.catkinproxy.admin;

/**
 * An instance as this daemon sees it.
 *
 * <p>Immutable, and so safe for use by any thread.
 *
 * @param instance the instance
 * @param kind {@code entry}, {@code engine} or {@code service}
 * @param address where callers or daemons reach it
 * @param operatorAddress the base address of its operator interface, empty if there is none
 * @param dataCentre where it is
 * @param state {@code live}, {@code leaving} or {@code left}
 * @param weight its size relative to others
 */
public record InstanceView(
        String instance,
        String kind,
        String address,
        String operatorAddress,
        String dataCentre,
        String state,
        int weight) {}
