package org.catkinproxy.settings;

import static com.google.common.base.Preconditions.checkNotNull;

import java.net.URI;
import java.time.Duration;

/**
 * Where the platform's services are and how long the daemon waits for them.
 *
 * <p>Immutable, and so safe for use by any thread.
 *
 * @param table the base address of the table service
 * @param objects the base address of the object store
 * @param instances the base address of the instance list
 * @param connectTimeout the longest wait for a connection
 * @param callTimeout the longest wait for a whole answer, connection included
 */
public record PlatformSettings(
        URI table, URI objects, URI instances, Duration connectTimeout, Duration callTimeout) {
    /** Checks that all parts are there. */
    public PlatformSettings {
        checkNotNull(table, "table");
        checkNotNull(objects, "objects");
        checkNotNull(instances, "instances");
        checkNotNull(connectTimeout, "connectTimeout");
        checkNotNull(callTimeout, "callTimeout");
    }
}
