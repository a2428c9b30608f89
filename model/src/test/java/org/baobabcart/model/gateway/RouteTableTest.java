package org.baobabcart.model.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Chars;
import net.jqwik.api.constraints.Size;
import net.jqwik.api.constraints.StringLength;
import org.junit.jupiter.api.Test;

class RouteTableTest {
    private static final CallerLimits LIMITS =
            new CallerLimits(1024, 1024, Duration.ofSeconds(1), Duration.ofSeconds(1));

    @Test
    void selectsLongestMatchingPrefixOfHost() {
        RouteTable table = table(route("short", "a.example", "/x/"), route("long", "a.example", "/x/y/"));
        assertThat(table.route("a.example", "/x/y/z").map(Route::name).orElse(""), is("long"));
        assertThat(table.route("a.example", "/x/z").map(Route::name).orElse(""), is("short"));
        assertThat(table.route("b.example", "/x/y/z").isPresent(), is(false));
        assertThat(table.route("a.example", "/xy/z").isPresent(), is(false));
    }

    @Test
    void hostsAreComparedWithoutCase() {
        RouteTable table = table(route("mixed", "Desk.Example", "/x/"));
        for (String host : List.of("desk.example", "Desk.Example", "DESK.EXAMPLE")) {
            assertThat(table.route(host, "/x/a").isPresent(), is(true));
        }
    }

    /** A sum of weights beyond the greatest int once turned all requests to the last service. */
    @Test
    void selectsServicesByWeightsOfAnySize() {
        for (double unit : new double[] {0.01, 0.5, 1, Integer.MAX_VALUE, 1e200}) {
            Route split = split(
                    new WeightedService("first", unit),
                    new WeightedService("none", 0),
                    new WeightedService("second", unit));
            assertThat(split.selectService(0.0), is("first"));
            assertThat(split.selectService(0.499), is("first"));
            assertThat(split.selectService(0.501), is("second"));
            assertThat(split.allows("none"), is(false));
        }
    }

    private static Route split(WeightedService... services) {
        return new Route(
                "split",
                "a.example",
                "/x/",
                List.of(services),
                RetryPolicy.ONCE,
                Duration.ofSeconds(1),
                Duration.ofSeconds(1),
                Duration.ZERO,
                1,
                0,
                false,
                false,
                List.of());
    }

    @Test
    void selectsServicesByWeight() {
        Route split =
                split(new WeightedService("most", 90), new WeightedService("few", 10), new WeightedService("none", 0));
        assertThat(split.selectService(0.0), is("most"));
        assertThat(split.selectService(0.899), is("most"));
        assertThat(split.selectService(0.901), is("few"));
        assertThat(split.allows("few"), is(true));
        assertThat(split.allows("none"), is(false));
    }

    /** The look-up by path prefixes returns the same route as a comparison with every route. */
    @Property
    void lookUpMatchesLinearSearch(
            @ForAll @Size(max = 12) List<@Chars({'a', 'b', '/'}) @StringLength(max = 5) String> prefixes,
            @ForAll @Chars({'a', 'b', '/'}) @StringLength(max = 8) String rest) {
        List<Route> routes = new ArrayList<>();
        prefixes.forEach(prefix -> routes.add(route("route-" + routes.size(), "a.example", "/" + prefix + "/")));
        String path = "/" + rest;
        String expected = routes.stream()
                .filter(route -> path.startsWith(route.pathPrefix()))
                .max(Comparator.comparingInt((Route route) -> route.pathPrefix().length()))
                .map(Route::pathPrefix)
                .orElse("");
        RouteTable table = table(routes.toArray(new Route[0]));
        assertThat(table.route("a.example", path).map(Route::pathPrefix).orElse(""), is(expected));
    }

    private static RouteTable table(Route... routes) {
        return RouteTable.of(1, List.of(routes), Map.of(), LIMITS);
    }

    private static Route route(String name, String host, String prefix) {
        return new Route(
                name,
                host,
                prefix,
                List.of(new WeightedService("service", 1)),
                RetryPolicy.REPEATABLE,
                Duration.ofSeconds(1),
                Duration.ofSeconds(1),
                Duration.ZERO,
                1,
                0,
                false,
                false,
                List.of());
    }
}
