package org.catkinproxy.gateway;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;

/**
 * Translates request and response heads between the gateway and the headers on the wire.
 *
 * <p>Implementations are stateless, and so safe for use by any thread.
 */
public interface HeaderCodec {
    /**
     * Reads the head of a caller's request.
     *
     * @throws org.catkinproxy.error.CatkinException if the head is malformed
     */
    RequestHead readRequest(HttpHeaders headers);

    /** Returns the headers of a request for an upstream: forwarded headers and {@code metadata}. */
    HttpHeaders writeRequest(HttpHeaders fromCaller, UpstreamRequestMetadata metadata);

    /** Returns the name of the event field by which a stream announces a change of weights. */
    String weightsVersionEventField();

    /** Reads the head of an upstream's response. */
    ResponseHead readResponse(HttpResponse response);

    /** Returns the headers of an upstream's response that are forwarded to the caller. */
    HttpHeaders writeResponse(HttpHeaders fromUpstream);
}
