package org.catkinproxy.serving;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

/**
 * Finds the route of a request by its host and the longest matching path prefix.
 *
 * <p>Immutable and thread-safe.
 */
public final class RouteTable {
    /** The routes of each normalized host, the longest path prefix first. */
    private final Map<String, List<Route>> mRoutesByHost;

    private RouteTable(Map<String, List<Route>> byHost) {
        mRoutesByHost = byHost;
    }

    /** Returns a table of the given routes. */
    public static RouteTable of(Collection<Route> routes) {
        Comparator<Route> longestFirst =
                Comparator.comparingInt((Route r) -> r.pathPrefix().length()).reversed();
        Map<String, List<Route>> byHost = new HashMap<>();
        routes.stream()
                .collect(Collectors.groupingBy(r -> normalizeHost(r.host())))
                .forEach((h, rs) -> byHost.put(h, rs.stream().sorted(longestFirst).toList()));
        return new RouteTable(Map.copyOf(byHost));
    }

    /**
     * Returns the route of a request, empty if none matches.
     *
     * @param host the host of the request, with or without a port; case does not matter
     * @param path the path of the request, without the query
     */
    public Optional<Route> find(String host, String path) {
        for (Route route : mRoutesByHost.getOrDefault(normalizeHost(host), List.of())) {
            if (path.startsWith(route.pathPrefix())) {
                return Optional.of(route);
            }
        }
        return Optional.empty();
    }

    private static String normalizeHost(String host) {
        int port = host.lastIndexOf(':');
        String name = port < 0 ? host : host.substring(0, port);
        return name.toLowerCase(Locale.ROOT);
    }
}
