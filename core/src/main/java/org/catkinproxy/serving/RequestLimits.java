package org.catkinproxy.serving;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.time.Duration;

/**
 * Limits for the size of requests and for the time that callers may take to send them.
 *
 * <p>Immutable and thread-safe.
 *
 * @param maxHeaderBytes the maximum size of the request line and headers, in bytes
 * @param maxBodyBytes the maximum size of the body, in bytes
 * @param headerTimeout the maximum time until the request line and headers are complete
 * @param idleTimeout the maximum time that a connection may stay without a request
 */
public record RequestLimits(
        int maxHeaderBytes, int maxBodyBytes, Duration headerTimeout, Duration idleTimeout) {
    /** The limits in force until a configuration sets others. */
    public static final RequestLimits DEFAULT =
            new RequestLimits(16_384, 4_194_304, Duration.ofSeconds(3), Duration.ofSeconds(15));

    /** Validates the components. */
    public RequestLimits {
        checkArgument(maxHeaderBytes > 0, "maxHeaderBytes is not positive: %s", maxHeaderBytes);
        checkArgument(maxBodyBytes > 0, "maxBodyBytes is not positive: %s", maxBodyBytes);
        checkNotNull(headerTimeout, "headerTimeout");
        checkNotNull(idleTimeout, "idleTimeout");
    }
}
