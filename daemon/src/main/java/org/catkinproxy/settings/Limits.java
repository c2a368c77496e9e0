package org.catkinproxy.settings;

import static com.google.common.base.Preconditions.checkNotNull;

import java.time.Duration;

/**
 * The bounds on what callers may send and hold open.
 *
 * <p>Immutable, and so safe for use by any thread.
 *
 * @param maxBodyBytes the largest body of a request
 * @param maxHeaderBytes the largest header of a request
 * @param bodyReadTimeout the longest wait for a whole body
 * @param streamIdle the longest silence of an upstream before its connection is abandoned
 * @param heartbeat the longest silence towards a caller before a comment line is sent
 * @param requestsPerSecond the rate of requests of one workspace on this instance
 * @param maxConcurrentRequests how many requests may be open on this instance
 */
public record Limits(
        int maxBodyBytes,
        int maxHeaderBytes,
        Duration bodyReadTimeout,
        Duration streamIdle,
        Duration heartbeat,
        int requestsPerSecond,
        int maxConcurrentRequests) {
    /** The limits of a settings file that names none. */
    public static final Limits DEFAULT =
            new Limits(
                    8 * 1024 * 1024,
                    16 * 1024,
                    Duration.ofSeconds(10),
                    Duration.ofSeconds(3),
                    Duration.ofSeconds(1),
                    2_000,
                    4_096);

    /** Checks that all parts are there. */
    public Limits {
        checkNotNull(bodyReadTimeout, "bodyReadTimeout");
        checkNotNull(streamIdle, "streamIdle");
        checkNotNull(heartbeat, "heartbeat");
    }
}
