package org.catkinproxy.service;

import org.catkinproxy.call.CallResponse;

/** The result of sending one request to a service. All implementations are immutable. */
public sealed interface SendResult {
    /**
     * The service sent a complete response with the request's idempotency key.
     *
     * @param response the response
     */
    record Responded(CallResponse response) implements SendResult {}

    /**
     * No connection was established, so no byte of the request was sent.
     *
     * @param reason a description of the failure
     */
    record NotConnected(String reason) implements SendResult {}

    /**
     * The request may have run, but no complete response with its idempotency key was received.
     *
     * @param reason a description of the failure
     */
    record ResponseLost(String reason) implements SendResult {}
}
