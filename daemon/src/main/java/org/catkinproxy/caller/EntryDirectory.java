package org.catkinproxy.caller;

import org.catkinproxy.id.InstanceId;

import java.util.List;

/**
 * Says which entry instances a caller should use.
 *
 * <p>Implementations are safe for use by any thread.
 */
public interface EntryDirectory {
    /** Returns the entry instances for a caller, the preferred first. */
    List<Entry> entries(String caller);

    /** Returns how long callers may keep the answer, in milliseconds. */
    long ttlMillis();

    /**
     * An entry instance and where it is reached.
     *
     * @param instance the instance
     * @param address IP number and port
     */
    record Entry(InstanceId instance, String address) {}
}
