package org.catkinproxy.admin;

/**
 * The active configuration revision of an instance, as known to the daemon that responds.
 *
 * <p>Immutable and thread-safe.
 *
 * @param instance the id of the instance
 * @param revision the revision, or 0 for none
 */
public record InstanceRevisionView(String instance, long revision) {}
