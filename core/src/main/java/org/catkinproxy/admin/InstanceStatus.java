package org.catkinproxy.admin;

/**
 * What one daemon says of itself.
 *
 * <p>Immutable, and so safe for use by any thread.
 *
 * @param instance the daemon
 * @param dataCentre where it runs
 * @param state {@code serving} or {@code stopping}
 * @param ready whether it takes new requests
 * @param revision the configuration in force, 0 for none
 * @param engines how many engines it knows that take new work
 * @param peers how many other daemons it hears from
 * @param openRequests how many requests it is working on
 */
public record InstanceStatus(
        String instance,
        String dataCentre,
        String state,
        boolean ready,
        long revision,
        int engines,
        int peers,
        int openRequests) {}
