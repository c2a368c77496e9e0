package org.catkinproxy.serving;

import static com.google.common.base.Preconditions.checkNotNull;

import org.catkinproxy.id.ServiceId;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * One complete version of the configuration that the gateway serves.
 *
 * <p>Immutable and thread-safe.
 *
 * @param version the version number; it grows with each change
 * @param routes the routes of requests
 * @param services the services by id
 * @param limits the limits for requests of callers
 * @param requiresApiKey whether requests need an API key on routes that are not public, also while
 *     no key is valid
 * @param accessByApiKey the access that each valid API key grants
 * @param unusableKeys the API keys of workspaces that cannot be read, whose requests are refused
 * @param cacheScopes the scopes in which cached prompts are shared
 * @param promptStores the stores in which engines save prompts for each other
 * @param problems why parts of the configuration could not be read, for operators
 */
public record ServingConfig(
        long version,
        RouteTable routes,
        Map<ServiceId, UpstreamService> services,
        RequestLimits limits,
        boolean requiresApiKey,
        Map<String, WorkspaceAccess> accessByApiKey,
        Set<String> unusableKeys,
        CacheScopes cacheScopes,
        List<PromptStore> promptStores,
        List<String> problems) {
    /** Validates and copies the components. */
    public ServingConfig {
        checkNotNull(routes, "routes");
        checkNotNull(limits, "limits");
        checkNotNull(cacheScopes, "cacheScopes");
        services = Map.copyOf(services);
        accessByApiKey = Map.copyOf(accessByApiKey);
        unusableKeys = Set.copyOf(unusableKeys);
        promptStores = List.copyOf(promptStores);
        problems = List.copyOf(problems);
    }

    /** Returns the access that {@code key} grants, empty if the key is unknown. */
    public Optional<WorkspaceAccess> findAccess(String key) {
        return Optional.ofNullable(accessByApiKey.get(key));
    }
}
