package org.catkinproxy.relay;

import static com.google.common.base.Preconditions.checkNotNull;

import org.catkinproxy.route.RouteRequest;
import org.catkinproxy.stream.ResumeToken;
import org.catkinproxy.upstream.GenerateRequest;

import java.util.Optional;

/**
 * One request to relay.
 *
 * <p>Immutable, and so safe for use by any thread.
 *
 * @param generate what engines are asked
 * @param route what decides where it goes
 * @param resume where the caller wants to go on, if it already has part of the answer
 */
public record RelayRequest(
        GenerateRequest generate, RouteRequest route, Optional<ResumeToken> resume) {
    /** Checks that all parts are there. */
    public RelayRequest {
        checkNotNull(generate, "generate");
        checkNotNull(route, "route");
        checkNotNull(resume, "resume");
    }
}
