package org.catkinproxy.service;

import org.catkinproxy.id.IdempotencyKey;

import io.reactivex.rxjava3.core.Single;

import java.time.Duration;

/**
 * Sends requests to plain services, each exactly once.
 *
 * <p>The results never fail: failures are reported as values. Disposing of a result does not cancel
 * the request. Implementations are safe for use by any thread.
 */
public interface ServiceClient {
    /** Sends one request on a new connection, and never sends it again. */
    Single<SendResult> send(ServiceRequest request);

    /**
     * Queries an instance for whether a call has run.
     *
     * @param address the IP address and port of the instance
     * @param key the call's idempotency key
     * @param timeout how long to wait for the complete response
     */
    Single<CallStatus> queryStatus(String address, IdempotencyKey key, Duration timeout);
}
