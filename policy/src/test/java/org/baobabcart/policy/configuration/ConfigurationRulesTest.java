package org.baobabcart.policy.configuration;

import static org.baobabcart.policy.configuration.ConfigurationSamples.entries;
import static org.baobabcart.policy.configuration.ConfigurationSamples.manyRoutes;
import static org.baobabcart.policy.configuration.ConfigurationSamples.route;
import static org.baobabcart.policy.configuration.ConfigurationSamples.service;
import static org.baobabcart.policy.configuration.ConfigurationSamples.tenant;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.baobabcart.model.gateway.CallerLimits;
import org.baobabcart.model.gateway.ConfigurationEntries;
import org.baobabcart.model.gateway.Route;
import org.baobabcart.model.gateway.ServiceEntry;
import org.baobabcart.model.gateway.WeightedService;
import org.junit.jupiter.api.Test;

class ConfigurationRulesTest {
    private static final OptionalLong UNKNOWN = OptionalLong.empty();

    @Test
    void soundConfigurationHasNoFindings() {
        assertThat(
                findings(entries(List.of(route("a", "h", "/x/"), route("b", "h", "/x/y/")), tenant("p", "k"))),
                empty());
    }

    @Test
    void routesThatNeverMatchAreFound() {
        List<Route> routes = List.of(
                route("a", "h", "/x/"),
                route("b", "h", "/x/"),
                route("c", "h", "/y"),
                route("d", "H", "/x/"),
                route("e", "h", "z/"));
        assertThat(
                findings(entries(routes)),
                contains(
                        "NEVER_MATCHES ROUTE_PREFIX 1 0",
                        "NEVER_MATCHES ROUTE_PREFIX 2 0",
                        "NEVER_MATCHES ROUTE_PREFIX 3 0",
                        "CONTRADICTION ROUTE_PREFIX 4 0"));
    }

    @Test
    void weightsAndUnlistedServicesAreFound() {
        List<Route> routes = List.of(
                route("a", "h", "/a/", new WeightedService("desk", 1), new WeightedService("till", 0)),
                route("b", "h", "/b/", new WeightedService("desk", 0), new WeightedService("till", 0)),
                route("c", "h", "/c/", new WeightedService("desk", Integer.MAX_VALUE), new WeightedService("till", 1)),
                route("d", "h", "/d/", new WeightedService("gone", 1)));
        assertThat(
                findings(entries(routes)),
                contains(
                        "NEVER_MATCHES ROUTE_WEIGHT 0 1",
                        "CONTRADICTION ROUTE_SERVICES 1 0",
                        "NEVER_MATCHES ROUTE_WEIGHT 1 0",
                        "UNUSABLE ROUTE_SERVICE 3 0"));
    }

    @Test
    void contradictoryTimesAreFound() {
        List<Route> routes = List.of(
                route("equal", "h", "/a/", 100, 100, 100, 1, List.of()),
                route("target", "h", "/b/", 99, 100, 99, 1, List.of()),
                route("gap", "h", "/c/", 100, 100, 101, 1, List.of()),
                route("zeros", "h", "/d/", 0, 0, 0, 0, List.of()));
        assertThat(
                findings(entries(routes)),
                contains(
                        "CONTRADICTION ROUTE_TIMEOUT 1 0",
                        "CONTRADICTION ROUTE_GAP_TARGET 2 0",
                        "UNUSABLE ROUTE_ATTEMPTS 3 0",
                        "UNUSABLE ROUTE_TIMEOUT 3 0",
                        "CONTRADICTION ROUTE_LATENCY_TARGET 3 0"));
    }

    @Test
    void limitsAndServicesAreChecked() {
        List<ServiceEntry> services =
                List.of(service("desk"), new ServiceEntry("till", "", Optional.empty(), true), service("desk"));
        CallerLimits limits = new CallerLimits(0, 4097, Duration.ZERO, Duration.ZERO);
        ConfigurationEntries entries = new ConfigurationEntries(1, List.of(), services, Optional.empty(), limits);
        assertThat(
                texts(ConfigurationRules.findings(entries, OptionalLong.of(4096))),
                contains(
                        "UNUSABLE LIMIT_HEADER_BYTES 0 0",
                        "UNUSABLE LIMIT_HEADER_TIMEOUT 0 0",
                        "CONTRADICTION LIMIT_IDLE_TIMEOUT 0 0",
                        "CONTRADICTION LIMIT_BODY_BYTES 0 0",
                        "CONTRADICTION SERVICE_NAME 0 0",
                        "CONTRADICTION SERVICE_WARM_UP 1 0"));
        assertThat(findings(entries).contains("CONTRADICTION LIMIT_BODY_BYTES 0 0"), is(false));
    }

    @Test
    void keysAreCheckedAndNeverNamed() {
        ConfigurationEntries entries = entries(
                List.of(),
                tenant("p", "secret-1", "secret-2"),
                tenant("q", "secret-1", "secret-3", "secret-3"),
                tenant("r"));
        assertThat(
                findings(entries),
                contains(
                        "NEVER_MATCHES TENANT_KEY 0 0",
                        "CONTRADICTION TENANT_KEY 1 1",
                        "NEVER_MATCHES TENANT_KEYS 2 0"));
        ConfigurationRules.findings(entries, UNKNOWN)
                .forEach(finding -> assertThat(finding.message(), not(containsString("secret"))));
    }

    @Test
    void findsTheFaultsAmongThousandsOfRoutes() {
        List<Route> routes = manyRoutes(5_000);
        routes.set(1_400, route("behind", "h1", "/p1/"));
        routes.set(4_999, route("slow", "h", "/slow/", 10, 20, 0, 1, List.of()));
        assertThat(
                findings(entries(routes)),
                contains("NEVER_MATCHES ROUTE_PREFIX 1400 0", "CONTRADICTION ROUTE_TIMEOUT 4999 0"));
    }

    private static List<String> findings(ConfigurationEntries entries) {
        return texts(ConfigurationRules.findings(entries, UNKNOWN));
    }

    private static List<String> texts(List<ConfigurationFinding> findings) {
        return findings.stream()
                .map(finding -> finding.kind() + " " + finding.place().field() + " "
                        + finding.place().index() + " " + finding.place().part())
                .toList();
    }
}
