package org.catkinproxy.caller;

import org.catkinproxy.id.InstanceId;

import java.util.List;

/**
 * Selects the entry instances that a caller should use.
 *
 * <p>Implementations are safe for use by any thread.
 */
public interface EntryDirectory {
    /** Returns the entry instances for a caller, in order of preference. */
    List<Entry> entries(String caller);

    /** Returns how long callers may cache the list, in milliseconds. */
    long ttlMillis();

    /**
     * An entry instance and its address.
     *
     * @param instance the id of the instance
     * @param address the IP address and port of the instance
     */
    record Entry(InstanceId instance, String address) {}
}
