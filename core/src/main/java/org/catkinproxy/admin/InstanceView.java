package org.catkinproxy.admin;

/**
 * The state of an instance as known to the daemon that responds.
 *
 * <p>Immutable and thread-safe.
 *
 * @param instance the id of the instance
 * @param kind {@code entry}, {@code engine} or {@code service}
 * @param address the address at which callers or daemons connect to the instance
 * @param operatorAddress the base address of its operator interface, or empty for none
 * @param dataCentre the id of its data centre
 * @param state {@code live}, {@code leaving} or {@code left}
 * @param weight its capacity relative to other instances
 */
public record InstanceView(
        String instance,
        String kind,
        String address,
        String operatorAddress,
        String dataCentre,
        String state,
        int weight) {}
