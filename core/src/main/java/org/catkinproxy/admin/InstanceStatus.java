package org.catkinproxy.admin;

/**
 * The status of a daemon, as reported by itself.
 *
 * <p>Immutable and thread-safe.
 *
 * @param instance the id of the daemon
 * @param dataCentre the id of its data centre
 * @param state {@code serving} or {@code stopping}
 * @param ready whether the daemon accepts new requests
 * @param revision the active configuration revision, or 0 for none
 * @param engines the number of known engines that accept new requests
 * @param peers the number of other daemons that are reachable
 * @param openRequests the number of requests in progress
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
