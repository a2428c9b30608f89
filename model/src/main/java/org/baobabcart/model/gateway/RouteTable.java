package org.baobabcart.model.gateway;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

/**
 * One version of the operator's configuration of the opaque request path. Immutable and thread-safe.
 */
public final class RouteTable {
    private final long version;
    private final List<Route> routes;
    private final Map<String, PooledService> services;
    private final Map<String, KeyHolder> keys;
    private final boolean keysRequired;
    private final CallerLimits limits;
    private final Map<String, List<Route>> byHost;

    private RouteTable(
            long version,
            List<Route> routes,
            Map<String, PooledService> services,
            Map<String, KeyHolder> keys,
            boolean keysRequired,
            CallerLimits limits) {
        this.version = version;
        this.routes = List.copyOf(routes);
        this.services = Map.copyOf(services);
        this.keys = Map.copyOf(keys);
        this.keysRequired = keysRequired;
        this.limits = limits;
        this.byHost = new HashMap<>(routes.stream()
                .sorted(Comparator.comparingInt(
                                (Route route) -> route.pathPrefix().length())
                        .reversed())
                .collect(Collectors.groupingBy(Route::host)));
    }

    /**
     * A table without keys, whose routes are open to all callers.
     *
     * @param version the operator's version, which only rises
     */
    public static RouteTable of(long version, List<Route> routes, List<PooledService> services, CallerLimits limits) {
        Map<String, PooledService> byName =
                services.stream().collect(Collectors.toMap(PooledService::name, service -> service, (a, b) -> b));
        return new RouteTable(version, routes, byName, Map.of(), false, limits);
    }

    /** The same table with keys, one of which each request needs unless its route is anonymous. */
    public RouteTable withKeys(Map<String, KeyHolder> newKeys) {
        return new RouteTable(version, routes, services, newKeys, true, limits);
    }

    /** The operator's version. */
    public long version() {
        return version;
    }

    /** All routes. */
    public List<Route> routes() {
        return routes;
    }

    /** What callers may send. */
    public CallerLimits limits() {
        return limits;
    }

    /** The service of this name. */
    public Optional<PooledService> service(String name) {
        return Optional.ofNullable(services.get(name));
    }

    /** Whether requests need a key unless their route is anonymous. */
    public boolean keysRequired() {
        return keysRequired;
    }

    /** The holder of a key. */
    public Optional<KeyHolder> holder(String key) {
        return Optional.ofNullable(keys.get(key));
    }

    /** The route of the host with the longest prefix that begins the path. */
    public Optional<Route> route(String host, String path) {
        return byHost.getOrDefault(host, List.of()).stream()
                .filter(route -> path.startsWith(route.pathPrefix()))
                .findFirst();
    }
}
