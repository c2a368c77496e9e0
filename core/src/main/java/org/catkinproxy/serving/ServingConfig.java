package org.catkinproxy.serving;

import static com.google.common.base.Preconditions.checkNotNull;

import org.catkinproxy.id.ServiceId;

import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * One version of what the gateway serves, whole.
 *
 * <p>Immutable, and so safe for use by any thread.
 *
 * @param version the version; a later one is higher
 * @param routes the routes
 * @param services the services by id
 * @param limits what callers may send
 * @param keys the access of each key; empty if no keys are needed
 * @param promptStores where engines can keep prompts for each other
 */
public record ServingConfig(
        long version,
        RouteTable routes,
        Map<ServiceId, UpstreamService> services,
        RequestLimits limits,
        Map<String, WorkspaceAccess> keys,
        List<PromptStore> promptStores) {
    /** Checks that all parts are there. */
    public ServingConfig {
        checkNotNull(routes, "routes");
        checkNotNull(limits, "limits");
        services = Map.copyOf(services);
        keys = Map.copyOf(keys);
        promptStores = List.copyOf(promptStores);
    }

    /** Tells whether requests of routes that are not public need a key. */
    public boolean needsKeys() {
        return !keys.isEmpty();
    }

    /** Returns the access that {@code key} gives, empty if it is not a key. */
    public Optional<WorkspaceAccess> access(String key) {
        return Optional.ofNullable(keys.get(key));
    }
}
