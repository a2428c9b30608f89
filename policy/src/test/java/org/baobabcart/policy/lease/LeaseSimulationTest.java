package org.baobabcart.policy.lease;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.time.Duration;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.From;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/**
 * Runs the simulation over random histories of nodes that pause, lose responses and send orders that arrive late, and
 * whose clocks start at any time and run up to ten percent fast or slow.
 */
class LeaseSimulationTest {
    private static final LeaseTerms TERMS =
            new LeaseTerms(Duration.ofSeconds(10), Duration.ofSeconds(2), Duration.ofSeconds(2));

    @Provide
    Arbitrary<LeaseSimulation.Step> steps() {
        return Combinators.combine(
                        Arbitraries.integers().between(0, LeaseSimulation.NODES - 1),
                        Arbitraries.of(LeaseSimulation.Action.class),
                        Arbitraries.longs().between(0, LeaseSimulation.MAXIMUM_STEP_MILLIS))
                .as(LeaseSimulation.Step::new);
    }

    @Property(tries = 5000, seed = "7701")
    void leaseHasAtMostOneHolder(@ForAll @Size(max = 120) List<LeaseSimulation.@From("steps") Step> steps) {
        LeaseSimulation simulation = new LeaseSimulation(TERMS);
        for (LeaseSimulation.Step step : steps) {
            simulation.run(step);
            assertThat(simulation.holders(), lessThanOrEqualTo(1L));
        }
    }

    @Property(tries = 5000, seed = "7702")
    void ordersOfAnOlderHolderNeverArriveAfterNewerOnes(
            @ForAll @Size(max = 120) List<LeaseSimulation.@From("steps") Step> steps) {
        LeaseSimulation simulation = new LeaseSimulation(TERMS);
        steps.forEach(simulation::run);
        simulation.deliverOrders();
        assertThat(
                "orders that arrived out of order at an engine without a fencing check",
                simulation.countOutOfOrder(),
                is(0));
    }

    @Test
    void holderWithSlowClockExpiresBeforeAcquirerWithFastClockStarts() {
        LeaseSimulation simulation = new LeaseSimulation(TERMS);
        simulation.run(new LeaseSimulation.Step(0, LeaseSimulation.Action.READ_AND_ACQUIRE, 0));
        for (int step = 0; step < 200; step++) {
            simulation.run(new LeaseSimulation.Step(2, LeaseSimulation.Action.READ_AND_ACQUIRE, 0));
            assertThat(simulation.holders(), lessThanOrEqualTo(1L));
            simulation.run(new LeaseSimulation.Step(0, LeaseSimulation.Action.WAIT, 100));
        }
        assertThat(simulation.fencing(), greaterThan(1L));
    }
}
