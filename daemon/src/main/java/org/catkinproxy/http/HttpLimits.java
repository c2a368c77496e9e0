package org.catkinproxy.http;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * What a listener accepts before it spends memory on a request.
 *
 * <p>Immutable, and so safe for use by any thread.
 *
 * @param maxBodyBytes the largest body
 * @param maxHeaderBytes the most bytes in all headers of a request
 * @param requestTimeoutMillis the time in which a request must have arrived whole
 * @param maxConnections the most connections that are open at the same time
 */
public record HttpLimits(
        int maxBodyBytes, int maxHeaderBytes, int requestTimeoutMillis, int maxConnections) {
    /** Checks that all limits are positive. */
    public HttpLimits {
        checkArgument(maxBodyBytes > 0, "maxBodyBytes: %s", maxBodyBytes);
        checkArgument(maxHeaderBytes > 0, "maxHeaderBytes: %s", maxHeaderBytes);
        checkArgument(requestTimeoutMillis > 0, "requestTimeoutMillis: %s", requestTimeoutMillis);
        checkArgument(maxConnections > 0, "maxConnections: %s", maxConnections);
    }
}
