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

/**
 * Runs the simulation over random histories of sheet changes, withdrawals, lost orders, crashes, new lease holders and
 * a VM list that lags.
 */
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

    /** No last engine is moved, no withdrawn version is loaded, and the number of concurrent loads is bounded. */
    @Property(tries = 3000, seed = "7711")
    void invariantsOfMovesHoldForRandomHistories(
            @ForAll("served") List<Integer> served,
            @ForAll @Size(max = 60) List<PlacementSimulation.@From("steps") Step> steps) {
        PlacementSimulation simulation = new PlacementSimulation(served);
        steps.forEach(simulation::run);
        assertThat(simulation.violations, empty());
    }

    /** Every desired engine is placed or reported with its reason, and then no engine moves any more. */
    @Property(tries = 1000, seed = "7712")
    void placementsConvergeAfterFaultsEnd(
            @ForAll("served") List<Integer> served,
            @ForAll @Size(max = 40) List<PlacementSimulation.@From("steps") Step> steps) {
        PlacementSimulation simulation = new PlacementSimulation(served);
        steps.forEach(simulation::run);
        simulation.endFaults();
        int missing = simulation.missing();
        int before = simulation.moves();
        simulation.advance(QUIET_SECONDS);
        assertThat(
                simulation.moves() - before, lessThanOrEqualTo(missing + PlacementSimulation.SETTINGS.maximumLoads()));
        int reported = simulation.plan().shortfalls().stream()
                .filter(shortfall -> shortfall.reason() == Shortfall.Reason.NO_SPARE_ENGINE
                        || shortfall.reason() == Shortfall.Reason.LAST_OF_ITS_VERSION)
                .mapToInt(Shortfall::missing)
                .sum();
        assertThat(simulation.missing(), equalTo(reported));
        int settled = simulation.moves();
        simulation.advance(QUIET_SECONDS);
        assertThat(simulation.moves(), equalTo(settled));
    }
}
