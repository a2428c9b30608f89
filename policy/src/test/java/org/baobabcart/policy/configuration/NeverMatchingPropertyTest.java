package org.baobabcart.policy.configuration;

import static org.baobabcart.policy.configuration.ConfigurationSamples.LIMITS;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.baobabcart.model.gateway.ConfigurationEntries;
import org.baobabcart.model.gateway.KeyHolder;
import org.baobabcart.model.gateway.Route;
import org.baobabcart.model.gateway.RouteTable;
import org.baobabcart.model.gateway.TenantEntry;
import org.baobabcart.model.gateway.WeightedService;

/** Holds the rules against the table that serves: what is called never matching is matched by no request, and other routes and keys are. */
class NeverMatchingPropertyTest {
    private static final List<String> HOSTS = List.of("a", "b");
    private static final List<String> KEYS = List.of("k1", "k2", "k3");
    private static final int POINTS = 64;

    @Property(seed = "5001", tries = 2_000)
    void requestsMatchNoRouteThatIsCalledNeverMatching(
            @ForAll("routes") List<Route> drawn, @ForAll("paths") List<String> paths) {
        ConfigurationEntries entries = entries(numbered(drawn), List.of());
        RouteTable table = entries.routeTable();
        Set<String> matched = new TreeSet<>();
        for (String host : HOSTS) {
            paths.forEach(path -> table.route(host, path).map(Route::name).ifPresent(matched::add));
            entries.routes()
                    .forEach(route ->
                            table.route(host, pathOf(route)).map(Route::name).ifPresent(matched::add));
        }
        Set<Integer> flagged = indices(entries, EntryField.ROUTE_PREFIX);
        for (int index = 0; index < entries.routes().size(); index++) {
            String name = entries.routes().get(index).name();
            assertThat(name, matched, flagged.contains(index) ? not(hasItem(name)) : hasItem(name));
        }
    }

    @Property(seed = "5002", tries = 2_000)
    void requestsGetNoServiceThatIsCalledNeverMatching(@ForAll("routes") List<Route> drawn) {
        ConfigurationEntries entries = entries(numbered(drawn), List.of());
        Map<Integer, Set<Integer>> flagged = findings(entries).stream()
                .filter(place -> place.field() == EntryField.ROUTE_WEIGHT)
                .collect(Collectors.groupingBy(
                        EntryPlace::index, Collectors.mapping(EntryPlace::part, Collectors.toSet())));
        for (int index = 0; index < entries.routes().size(); index++) {
            Route route = entries.routes().get(index);
            Set<String> served = new TreeSet<>();
            for (int point = 0; point < POINTS; point++) {
                served.add(route.selectService(point / (double) POINTS));
            }
            served.add(route.selectService(Math.nextDown(1.0)));
            Set<String> expected = new TreeSet<>();
            for (int part = 0; part < route.services().size(); part++) {
                if (!flagged.getOrDefault(index, Set.of()).contains(part)) {
                    expected.add(route.services().get(part).service());
                }
            }
            assertThat(served, is(expected));
        }
    }

    @Property(seed = "5003", tries = 2_000)
    void keysOpenNoHolderThatIsCalledNeverMatching(@ForAll("tenants") List<TenantEntry> tenants) {
        ConfigurationEntries entries = entries(List.of(), tenants);
        RouteTable table = entries.routeTable();
        for (EntryPlace place : findings(entries)) {
            TenantEntry tenant = tenants.get(place.index());
            if (place.field() == EntryField.TENANT_KEY) {
                KeyHolder holder = table.holder(tenant.keys().get(place.part())).orElseThrow();
                assertThat(holder, not(is(tenant.holder())));
            } else {
                assertThat(tenant.keys().isEmpty(), is(true));
            }
        }
        Set<String> served = KEYS.stream()
                .flatMap(key -> table.holder(key).stream())
                .map(KeyHolder::toString)
                .collect(Collectors.toSet());
        for (int index = 0; index < tenants.size(); index++) {
            if (isKeyLeft(entries, index)) {
                assertThat(served, hasItem(tenants.get(index).holder().toString()));
            }
        }
    }

    private static boolean isKeyLeft(ConfigurationEntries entries, int index) {
        long lost = findings(entries).stream()
                .filter(place -> place.index() == index && place.field() == EntryField.TENANT_KEY)
                .count();
        return lost < entries.tenants().orElseThrow().get(index).keys().size();
    }

    private static String pathOf(Route route) {
        return route.pathPrefix().split("\\?", 2)[0];
    }

    private static Set<Integer> indices(ConfigurationEntries entries, EntryField field) {
        return findings(entries).stream()
                .filter(place -> place.field() == field)
                .map(EntryPlace::index)
                .collect(Collectors.toSet());
    }

    private static List<EntryPlace> findings(ConfigurationEntries entries) {
        return ConfigurationRules.findings(entries, OptionalLong.empty()).stream()
                .filter(finding -> finding.kind() == FindingKind.NEVER_MATCHES)
                .map(ConfigurationFinding::place)
                .toList();
    }

    private static ConfigurationEntries entries(List<Route> routes, List<TenantEntry> tenants) {
        return new ConfigurationEntries(1, routes, List.of(), Optional.of(tenants), LIMITS);
    }

    private static List<Route> numbered(List<Route> drawn) {
        List<Route> routes = new ArrayList<>();
        for (Route route : drawn) {
            routes.add(ConfigurationSamples.route(
                    "r" + routes.size(),
                    route.host(),
                    route.pathPrefix(),
                    route.services().toArray(WeightedService[]::new)));
        }
        return routes;
    }

    @Provide
    Arbitrary<List<Route>> routes() {
        Arbitrary<WeightedService> service = Combinators.combine(
                        Arbitraries.of("desk", "till", "door"),
                        Arbitraries.integers().between(0, 2))
                .as(WeightedService::new);
        return Combinators.combine(
                        Arbitraries.of("a", "b", "A"),
                        Arbitraries.of("/", "/x/", "/x/y/", "/x", "/x?/", "/y/"),
                        service.list().ofMinSize(1).ofMaxSize(4))
                .as((host, prefix, services) ->
                        ConfigurationSamples.route("r", host, prefix, services.toArray(WeightedService[]::new)))
                .list()
                .ofMaxSize(8);
    }

    @Provide
    Arbitrary<List<String>> paths() {
        return Arbitraries.strings()
                .withChars("xy/")
                .ofMaxLength(6)
                .map(text -> "/" + text)
                .list()
                .ofMaxSize(20);
    }

    @Provide
    Arbitrary<List<TenantEntry>> tenants() {
        return Combinators.combine(
                        Arbitraries.of("p", "q"),
                        Arbitraries.integers().between(-1, 1),
                        Arbitraries.of(KEYS).list().ofMaxSize(3))
                .as((name, rank, keys) -> new TenantEntry(new KeyHolder(name, rank), keys))
                .list()
                .ofMaxSize(5);
    }
}
