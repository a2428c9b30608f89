package org.baobabcart.policy.configuration;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.baobabcart.model.gateway.CallerLimits;
import org.baobabcart.model.gateway.ConfigurationEntries;
import org.baobabcart.model.gateway.KeyHolder;
import org.baobabcart.model.gateway.RetryPolicy;
import org.baobabcart.model.gateway.Route;
import org.baobabcart.model.gateway.ServiceEntry;
import org.baobabcart.model.gateway.TenantEntry;
import org.baobabcart.model.gateway.WeightedService;

/** Entries for tests. */
final class ConfigurationSamples {
    static final CallerLimits LIMITS = new CallerLimits(1024, 4096, Duration.ofSeconds(1), Duration.ofSeconds(1));

    private ConfigurationSamples() {}

    static ConfigurationEntries entries(List<Route> routes, TenantEntry... tenants) {
        return new ConfigurationEntries(
                1, routes, List.of(service("desk"), service("till")), Optional.of(List.of(tenants)), LIMITS);
    }

    static ServiceEntry service(String name) {
        return new ServiceEntry(name, "/health", Optional.empty(), false);
    }

    static TenantEntry tenant(String name, String... keys) {
        return new TenantEntry(new KeyHolder(name, -1), List.of(keys));
    }

    static Route route(String name, String host, String prefix, WeightedService... services) {
        return route(name, host, prefix, 300, 100, 50, 2, List.of(services));
    }

    static Route route(
            String name,
            String host,
            String prefix,
            long timeoutMillis,
            long targetMillis,
            long gapMillis,
            int attempts,
            List<WeightedService> services) {
        return new Route(
                name,
                host,
                prefix,
                services.isEmpty() ? List.of(new WeightedService("desk", 1)) : services,
                RetryPolicy.ONCE,
                Duration.ofMillis(timeoutMillis),
                Duration.ofMillis(targetMillis),
                Duration.ofMillis(gapMillis),
                attempts,
                0,
                false,
                false,
                List.of());
    }

    /** Returns sound routes with different prefixes. */
    static List<Route> manyRoutes(int count) {
        List<Route> routes = new ArrayList<>();
        for (int index = 0; index < count; index++) {
            routes.add(route("r" + index, "h" + index % 7, "/p" + index + "/"));
        }
        return routes;
    }
}
