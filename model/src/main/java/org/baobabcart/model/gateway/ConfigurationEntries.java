package org.baobabcart.model.gateway;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * All entries of one configuration in their order, including those that others replace or hide in the {@link RouteTable}. Immutable.
 *
 * @param version the version of the configuration
 * @param routes all routes
 * @param services all services
 * @param tenants all holders of keys; empty if requests need no key
 * @param limits the limits of callers' requests
 */
public record ConfigurationEntries(
        long version,
        List<Route> routes,
        List<ServiceEntry> services,
        Optional<List<TenantEntry>> tenants,
        CallerLimits limits) {
    /** Copies the lists. */
    public ConfigurationEntries {
        routes = List.copyOf(routes);
        services = List.copyOf(services);
        tenants = tenants.map(List::copyOf);
    }

    /** Returns the table that serves requests. Of equal names and keys, the last entry holds. */
    public RouteTable routeTable() {
        Map<String, String> healthPaths = new HashMap<>();
        Map<String, WarmUp> warmUps = new HashMap<>();
        for (ServiceEntry service : services) {
            healthPaths.put(service.name(), service.healthPath());
            service.warmUp().ifPresent(warmUp -> warmUps.put(service.name(), warmUp));
        }
        RouteTable table = RouteTable.of(version, routes, healthPaths, limits).withWarmUps(warmUps);
        return tenants.isPresent() ? table.withKeys(holders()) : table;
    }

    /** Returns the holder of each key; empty if requests need no key. */
    public Map<String, KeyHolder> holders() {
        Map<String, KeyHolder> holders = new HashMap<>();
        for (TenantEntry tenant : tenants.orElse(List.of())) {
            tenant.keys().forEach(key -> holders.put(key, tenant.holder()));
        }
        return holders;
    }
}
