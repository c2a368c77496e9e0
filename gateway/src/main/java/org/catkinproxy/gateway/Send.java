package org.catkinproxy.gateway;

import org.catkinproxy.serving.Upstream;

import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;

/**
 * What the gateway adds to a request when it sends it to an upstream.
 *
 * <p>Immutable, and so safe for use by any thread.
 *
 * @param upstream the upstream that is to run it
 * @param leftMillis how long the answer is still of use, in ms
 * @param workspace the caller's workspace, empty for public routes
 * @param cacheScope what sets its cached prompt apart from others, empty if shared by all
 * @param urgency its rank at an engine, 0 first, empty for plain services
 * @param resumeAfter the last event that the caller has, empty for a new stream
 */
public record Send(
        Upstream upstream,
        long leftMillis,
        Optional<String> workspace,
        Optional<String> cacheScope,
        OptionalInt urgency,
        OptionalLong resumeAfter) {}
