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
 * Random histories of nodes whose clocks start anywhere and run up to ten percent fast or slow, which pause, lose answers
 * and send orders that arrive late.
 */
class LeaseSimulationTest {
    private static final LeaseTerms TERMS =
            new LeaseTerms(Duration.ofSeconds(10), Duration.ofSeconds(2), Duration.ofSeconds(2));

    @Provide
    Arbitrary<LeaseSimulation.Step> steps() {
        return Combinators.combine(
                        Arbitraries.integers().between(0, LeaseSimulation.NODES - 1),
                        Arbitraries.of(LeaseSimulation.Action.class),
                        Arbitraries.longs().between(0, LeaseSimulation.LONGEST_STEP_MILLIS))
                .as(LeaseSimulation.Step::new);
    }

    @Property(tries = 5000, seed = "7701")
    void neverDoTwoNodesHoldTheLeaseAtOnce(@ForAll @Size(max = 120) List<LeaseSimulation.@From("steps") Step> steps) {
        LeaseSimulation world = new LeaseSimulation(TERMS);
        for (LeaseSimulation.Step step : steps) {
            world.run(step);
            assertThat(world.holders(), lessThanOrEqualTo(1L));
        }
    }

    @Property(tries = 5000, seed = "7702")
    void anEngineNeverObeysAnOlderHolderAfterANewerOne(
            @ForAll @Size(max = 120) List<LeaseSimulation.@From("steps") Step> steps) {
        LeaseSimulation world = new LeaseSimulation(TERMS);
        steps.forEach(world::run);
        world.deliverAll();
        assertThat("orders obeyed without a check", world.obeyedOutOfOrder(), is(0));
    }

    @Test
    void aHolderWithASlowClockEndsBeforeATakerWithAFastOneBegins() {
        LeaseSimulation world = new LeaseSimulation(TERMS);
        world.run(new LeaseSimulation.Step(0, LeaseSimulation.Action.READ_AND_TAKE, 0));
        for (int tenths = 0; tenths < 200; tenths++) {
            world.run(new LeaseSimulation.Step(2, LeaseSimulation.Action.READ_AND_TAKE, 0));
            assertThat(world.holders(), lessThanOrEqualTo(1L));
            world.run(new LeaseSimulation.Step(0, LeaseSimulation.Action.WAIT, 100));
        }
        assertThat(world.fencing(), greaterThan(1L));
    }
}
