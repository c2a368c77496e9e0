package org.catkinproxy.http;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The limits that an HTTP listener enforces on requests and connections, to bound its memory use.
 *
 * <p>Immutable and thread-safe.
 *
 * @param maxBodyBytes the maximum size of a request body, in bytes
 * @param maxHeaderBytes the maximum size of all headers of a request together, in bytes
 * @param requestTimeoutMillis the time within which a request must be received completely, in
 *     milliseconds
 * @param maxConnections the maximum number of open connections
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
