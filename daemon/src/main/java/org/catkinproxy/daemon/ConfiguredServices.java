package org.catkinproxy.daemon;

import org.catkinproxy.calls.ServiceDirectory;
import org.catkinproxy.calls.ServiceInstance;
import org.catkinproxy.config.Configuration;
import org.catkinproxy.config.ServiceRoute;
import org.catkinproxy.id.PoolId;
import org.catkinproxy.id.ServiceId;

import java.util.List;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.stream.Collectors;

/** Where the services of the configuration in force run. Safe for use by any thread. */
final class ConfiguredServices implements ServiceDirectory {
    private final Supplier<Configuration> mConfiguration;
    private final Function<PoolId, List<ServiceInstance>> mInstances;

    ConfiguredServices(
            Supplier<Configuration> configuration,
            Function<PoolId, List<ServiceInstance>> instances) {
        mConfiguration = configuration;
        mInstances = instances;
    }

    @Override
    public List<ServiceInstance> instances(ServiceId service) {
        return routes(service).stream()
                .flatMap(r -> mInstances.apply(r.pool()).stream())
                .distinct()
                .toList();
    }

    @Override
    public boolean hasOneWorkspace(ServiceId service) {
        Set<PoolId> pools =
                routes(service).stream().map(ServiceRoute::pool).collect(Collectors.toSet());
        return mConfiguration.get().services().stream()
                        .filter(r -> pools.contains(r.pool()))
                        .map(ServiceRoute::workspace)
                        .distinct()
                        .count()
                == 1;
    }

    private List<ServiceRoute> routes(ServiceId service) {
        return mConfiguration.get().services().stream()
                .filter(r -> r.service().equals(service))
                .toList();
    }
}
