package org.catkinproxy.relay;

import static com.google.common.base.Preconditions.checkNotNull;

import org.catkinproxy.route.RouteRequest;
import org.catkinproxy.stream.ResumeToken;
import org.catkinproxy.upstream.GenerateRequest;

import java.util.Optional;

/**
 * A completion request to relay.
 *
 * <p>Immutable, and so safe for use by any thread.
 *
 * @param generateRequest the request to send to an engine
 * @param routeRequest the request to the dispatcher, which selects the engine
 * @param resumeToken the position at which to resume, if the caller already has part of the
 *     response
 */
public record RelayRequest(
        GenerateRequest generateRequest,
        RouteRequest routeRequest,
        Optional<ResumeToken> resumeToken) {
    /** Checks that no component is null. */
    public RelayRequest {
        checkNotNull(generateRequest, "generateRequest");
        checkNotNull(routeRequest, "routeRequest");
        checkNotNull(resumeToken, "resumeToken");
    }
}
