package org.baobabcart.policy.configuration;

import static org.baobabcart.policy.configuration.ConfigurationSamples.entries;
import static org.baobabcart.policy.configuration.ConfigurationSamples.manyRoutes;
import static org.baobabcart.policy.configuration.ConfigurationSamples.route;
import static org.baobabcart.policy.configuration.ConfigurationSamples.service;
import static org.baobabcart.policy.configuration.ConfigurationSamples.tenant;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.baobabcart.model.gateway.CallerLimits;
import org.baobabcart.model.gateway.ConfigurationEntries;
import org.baobabcart.model.gateway.Route;
import org.baobabcart.model.gateway.ServiceEntry;
import org.baobabcart.model.gateway.WarmUp;
import org.baobabcart.model.gateway.WeightedService;
import org.junit.jupiter.api.Test;

class ConfigurationChangesTest {
    @Test
    void otherTextOfTheSameEffectIsNoChange() {
        ConfigurationEntries before = entries(
                List.of(
                        route("a", "h", "/a/", new WeightedService("desk", 1), new WeightedService("till", 2)),
                        route("b", "h", "/b/")),
                tenant("p", "k1", "k2"));
        ConfigurationEntries after = entries(
                List.of(
                        route("b", "h", "/b/"),
                        route("a", "h", "/a/", new WeightedService("till", 20), new WeightedService("desk", 10)),
                        route("hidden", "h", "/b/", new WeightedService("till", 1))),
                tenant("p", "k2"),
                tenant("p", "k1"));
        assertThat(changes(before, after), empty());
    }

    @Test
    void routesAreToldByWhatTheirRequestsGet() {
        ConfigurationEntries before = entries(List.of(
                route("all", "h", "/"),
                route("gone", "h", "/gone/"),
                route("lost", "i", "/lost/"),
                route("moved", "h", "/moved/"),
                route("slow", "h", "/slow/")));
        ConfigurationEntries after = entries(List.of(
                route("all", "h", "/"),
                route("new", "h", "/new/", new WeightedService("till", 1)),
                route("moved", "h", "/moved/", new WeightedService("desk", 1), new WeightedService("till", 3)),
                route("slow", "h", "/slow/", 500, 100, 50, 3, List.of())));
        assertThat(
                changes(before, after),
                contains(
                        "ROUTE_DROPPED h/gone/: requests now get route all (desk)",
                        "ROUTE_DROPPED i/lost/: requests now get 404",
                        "ROUTE_ADDED h/new/: requests go to till; before they got route all (desk)",
                        "ROUTE_MOVED h/moved/: requests go to desk 25.0%, till 75.0%; before to desk",
                        "ROUTE_CHANGED h/slow/: time-out: 500 ms, before 300 ms",
                        "ROUTE_CHANGED h/slow/: attempts: 3, before 2"));
    }

    @Test
    void keysAreCountedByHolder() {
        ConfigurationEntries before = entries(List.of(), tenant("p", "k1", "k2", "k3"), tenant("q", "k4"));
        ConfigurationEntries after = entries(List.of(), tenant("p", "k3"), tenant("q", "k1", "k4", "k5"));
        assertThat(
                changes(before, after),
                contains(
                        "KEYS_WITHDRAWN p: keys no longer accepted: 1",
                        "KEYS_ADDED q: keys newly accepted: 1",
                        "KEYS_MOVED q, before p: keys that changed hands or rank: 1"));
    }

    @Test
    void servicesAndLimitsAreCompared() {
        ConfigurationEntries before = entries(List.of());
        ConfigurationEntries after = new ConfigurationEntries(
                2,
                List.of(),
                List.of(
                        service("desk"),
                        new ServiceEntry("till", "/up", Optional.of(new WarmUp(Duration.ofMillis(1500), 2)), false)),
                Optional.empty(),
                new CallerLimits(1024, 8192, Duration.ofSeconds(1), Duration.ofNanos(1_500_000)));
        assertThat(
                changes(before, after),
                contains(
                        "KEYS_REQUIRED all routes: keys required: false, before true",
                        "SERVICE_CHANGED till: health check: /up, before /health",
                        "SERVICE_CHANGED till: warm-up: 1500 ms at 2.0 requests a second, before none",
                        "LIMITS_CHANGED all callers: body bytes: 8192, before 4096",
                        "LIMITS_CHANGED all callers: idle time-out: 1.5 ms, before 1000 ms"));
    }

    @Test
    void findsTheChangesAmongThousandsOfRoutes() {
        List<Route> routes = manyRoutes(5_000);
        routes.set(2_500, route("r2500", "h1", "/p2500/", new WeightedService("till", 1)));
        routes.remove(0);
        assertThat(
                changes(entries(manyRoutes(5_000)), entries(routes)),
                contains(
                        "ROUTE_DROPPED h0/p0/: requests now get 404",
                        "ROUTE_MOVED h1/p2500/: requests go to till; before to desk"));
    }

    private static List<String> changes(ConfigurationEntries before, ConfigurationEntries after) {
        return ConfigurationChanges.between(before, after).stream()
                .map(change -> change.effect() + " " + change.subject() + ": " + change.message())
                .toList();
    }
}
