package org.baobabcart.policy.placement;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.From;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.Size;

/** Random histories of changing sheets and withdrawals, lost orders, crashes, new holders and a list that lags. */
class PlacementSimulationTest {
    private static final int QUIET_SECONDS = 600;
    private static final int LARGEST_NUMBER = 26;

    @Provide
    Arbitrary<PlacementSimulation.Step> steps() {
        return Combinators.combine(
                        Arbitraries.of(PlacementSimulation.Action.class),
                        Arbitraries.integers().between(0, LARGEST_NUMBER))
                .as(PlacementSimulation.Step::new);
    }

    @Provide
    Arbitrary<List<Integer>> served() {
        return Arbitraries.integers()
                .between(0, PlacementSimulation.VERSIONS.size() - 1)
                .list()
                .ofSize(PlacementSimulation.ENGINES);
    }

    @Property(tries = 3000, seed = "7711")
    void noLastEngineIsTakenNoWithdrawnVersionLoadedAndLoadsAreBounded(
            @ForAll("served") List<Integer> served,
            @ForAll @Size(max = 60) List<PlacementSimulation.@From("steps") Step> steps) {
        PlacementSimulation world = new PlacementSimulation(served);
        steps.forEach(world::run);
        assertThat(world.faults, empty());
    }

    @Property(tries = 1000, seed = "7712")
    void onceTheFaultsEndAllIsPlacedOrNamedAndNothingMovesAnyMore(
            @ForAll("served") List<Integer> served,
            @ForAll @Size(max = 40) List<PlacementSimulation.@From("steps") Step> steps) {
        PlacementSimulation world = new PlacementSimulation(served);
        steps.forEach(world::run);
        world.endFaults();
        int missing = world.missing();
        int before = world.moves();
        world.pass(QUIET_SECONDS);
        assertThat(world.moves() - before, lessThanOrEqualTo(missing + PlacementSimulation.SETTINGS.maximumLoads()));
        int named = world.plan().shortfalls().stream()
                .filter(shortfall -> shortfall.reason() == Shortfall.Reason.NO_SPARE_ENGINE
                        || shortfall.reason() == Shortfall.Reason.LAST_OF_ITS_VERSION)
                .mapToInt(Shortfall::missing)
                .sum();
        assertThat(world.missing(), equalTo(named));
        int settled = world.moves();
        world.pass(QUIET_SECONDS);
        assertThat(world.moves(), equalTo(settled));
    }
}
