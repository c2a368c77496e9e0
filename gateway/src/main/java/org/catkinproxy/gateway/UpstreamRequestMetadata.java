package org.catkinproxy.gateway;

import com.google.common.net.HostAndPort;

import org.catkinproxy.serving.RunCopy;
import org.catkinproxy.serving.Upstream;

import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;

/**
 * The metadata that the gateway adds to a request for an upstream.
 *
 * <p>Immutable, and so safe for use by any thread.
 *
 * @param upstream the upstream that the request is sent to
 * @param remainingMillis the time left until the request's deadline, in ms
 * @param workspace the caller's workspace, empty for public routes
 * @param priority the request's priority at an engine, 0 is the highest, empty for other services
 * @param lastEventId the id of the last event that was delivered, empty for a new stream
 * @param engine the metadata for a model engine, empty for other services
 */
public record UpstreamRequestMetadata(
        Upstream upstream,
        long remainingMillis,
        Optional<String> workspace,
        OptionalInt priority,
        OptionalLong lastEventId,
        Optional<EngineMetadata> engine) {
    /**
     * The metadata that the gateway adds for a model engine.
     *
     * @param cacheScope the cache scope of the prompt; prompts of different weights, or of
     *     workspaces with isolated caches, have different scopes
     * @param expectedWeightsVersion the version of the weights that the engine must have
     * @param fetchFrom where the engine fetches cached parts of the prompt, empty for none
     * @param saveTo the prompt store to which the engine saves the prompt, empty for none
     * @param backup the engine that receives a backup of the run's KV cache, empty for none
     * @param resumesFrom the memory of the run with which the engine goes on, empty for a new run
     */
    public record EngineMetadata(
            String cacheScope,
            int expectedWeightsVersion,
            Optional<HostAndPort> fetchFrom,
            Optional<HostAndPort> saveTo,
            Optional<Upstream> backup,
            Optional<RunCopy> resumesFrom) {}
}
