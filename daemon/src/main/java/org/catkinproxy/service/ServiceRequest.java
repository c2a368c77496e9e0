package org.catkinproxy.service;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import org.catkinproxy.id.AttemptId;
import org.catkinproxy.id.IdempotencyKey;

import java.time.Duration;

/**
 * A request to one instance of a service.
 *
 * <p>Immutable, provided that the body's bytes, which are not copied, are not modified.
 *
 * @param address the IP address and port of the instance
 * @param method the HTTP method
 * @param path the path and query, starting with a slash
 * @param contentType the body's content type, or an empty string if there is none
 * @param body the request body, possibly empty
 * @param idempotencyKey the idempotency key, which the response must repeat
 * @param attemptId the attempt that sends the request
 * @param timeout how long to wait for the complete response
 */
public record ServiceRequest(
        String address,
        String method,
        String path,
        String contentType,
        byte[] body,
        IdempotencyKey idempotencyKey,
        AttemptId attemptId,
        Duration timeout) {
    /** Checks the components. */
    public ServiceRequest {
        checkNotNull(address, "address");
        checkNotNull(method, "method");
        checkArgument(path.startsWith("/"), "path does not start with a slash: %s", path);
        checkNotNull(contentType, "contentType");
        checkNotNull(body, "body");
        checkNotNull(idempotencyKey, "idempotencyKey");
        checkNotNull(attemptId, "attemptId");
        checkArgument(!timeout.isNegative(), "timeout is negative: %s", timeout);
    }
}
