package org.baobabcart.model.gateway;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

/**
 * One version of the configuration of the opaque request path: routes, API keys and limits. Immutable and thread-safe.
 */
public final class RouteTable {
    private static final char SEPARATOR = '/';

    private final long version;
    private final List<Route> routes;
    private final Map<String, String> healthPaths;
    private final Map<String, KeyHolder> keys;
    private final boolean keysRequired;
    private final CallerLimits limits;
    private final Map<String, WarmUp> warmUps;
    private final Map<String, Map<String, Route>> byHostAndPrefix;

    private RouteTable(
            long version,
            List<Route> routes,
            Map<String, String> healthPaths,
            Map<String, KeyHolder> keys,
            boolean keysRequired,
            CallerLimits limits,
            Map<String, WarmUp> warmUps) {
        this.version = version;
        this.routes = List.copyOf(routes);
        this.healthPaths = Map.copyOf(healthPaths);
        this.keys = Map.copyOf(keys);
        this.keysRequired = keysRequired;
        this.limits = limits;
        this.warmUps = Map.copyOf(warmUps);
        this.byHostAndPrefix = routes.stream()
                .collect(Collectors.groupingBy(
                        route -> route.host().toLowerCase(Locale.ROOT),
                        Collectors.toMap(Route::pathPrefix, route -> route, (first, second) -> first)));
    }

    /**
     * Creates a table without keys, whose routes are open to all callers.
     *
     * @param version the version of the configuration, which only increases
     * @param healthPaths the health check path by service, for services that define one
     */
    public static RouteTable of(
            long version, List<Route> routes, Map<String, String> healthPaths, CallerLimits limits) {
        return new RouteTable(version, routes, healthPaths, Map.of(), false, limits, Map.of());
    }

    /** Returns a copy with API keys. Requests then need a key unless their route is anonymous. */
    public RouteTable withKeys(Map<String, KeyHolder> newKeys) {
        return new RouteTable(version, routes, healthPaths, newKeys, true, limits, warmUps);
    }

    /** Returns a copy in which upstreams of these services are cold after their start. */
    public RouteTable withWarmUps(Map<String, WarmUp> newWarmUps) {
        return new RouteTable(version, routes, healthPaths, keys, keysRequired, limits, newWarmUps);
    }

    /** Returns the version of the configuration. */
    public long version() {
        return version;
    }

    /** Returns all routes. */
    public List<Route> routes() {
        return routes;
    }

    /** Returns the limits of callers' requests. */
    public CallerLimits limits() {
        return limits;
    }

    /** Returns the path of the service's health check, or an empty string if none is configured. */
    public String healthPath(String service) {
        return healthPaths.getOrDefault(service, "");
    }

    /** Returns what cold upstreams bear, by service; services whose upstreams are never cold are left out. */
    public Map<String, WarmUp> warmUps() {
        return warmUps;
    }

    /** Returns what cold upstreams of a service bear; empty if they are never cold. */
    public Optional<WarmUp> warmUp(String service) {
        return Optional.ofNullable(warmUps.get(service));
    }

    /** Returns whether requests need a key unless their route is anonymous. */
    public boolean keysRequired() {
        return keysRequired;
    }

    /** Returns the workspace to which a key belongs. */
    public Optional<KeyHolder> holder(String key) {
        return Optional.ofNullable(keys.get(key));
    }

    /**
     * Returns the route of the host, in any case (RFC 9110), with the longest matching path prefix. Prefixes end with a slash, so that the look-up time depends on
     * the depth of the path and not on the number of routes.
     */
    public Optional<Route> route(String host, String path) {
        Map<String, Route> byPrefix = byHostAndPrefix.getOrDefault(host.toLowerCase(Locale.ROOT), Map.of());
        for (int end = path.lastIndexOf(SEPARATOR); end >= 0; end = path.lastIndexOf(SEPARATOR, end - 1)) {
            Route route = byPrefix.get(path.substring(0, end + 1));
            if (route != null) {
                return Optional.of(route);
            }
        }
        return Optional.empty();
    }

    @Override
    public boolean equals(Object other) {
        return this == other
                || other instanceof RouteTable table
                        && version == table.version
                        && keysRequired == table.keysRequired
                        && routes.equals(table.routes)
                        && healthPaths.equals(table.healthPaths)
                        && keys.equals(table.keys)
                        && limits.equals(table.limits)
                        && warmUps.equals(table.warmUps);
    }

    @Override
    public int hashCode() {
        return Long.hashCode(version);
    }
}
