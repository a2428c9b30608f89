package org.baobabcart.policy.bill;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasItem;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.baobabcart.policy.bill.BillSimulation.CoveredEvent;
import org.baobabcart.policy.bill.BillSimulation.Defect;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class BillSimulationTest {
    private static final int STEPS = 300;
    private static final int MAX_SEEDS_PER_DEFECT = 500;

    @Property(tries = 1000, seed = "4301")
    void everyRequestIsBilledOnceUnlessAllHoldersCrashed(@ForAll long seed) {
        assertThat(new BillSimulation(seed, Defect.NONE).run(STEPS), empty());
    }

    @ParameterizedTest
    @CsvSource({
        "TAKES_LOST_ANSWER_FOR_COMMIT, not billed",
        "RELEASES_BEFORE_COMMIT, not billed",
        "NO_REOFFER, not billed",
        "COUNTS_EVERY_SEGMENT, billed twice"
    })
    void checkerDetectsInjectedDefect(Defect defect, String violation) {
        List<String> violations = new ArrayList<>();
        for (long seed = 0; seed < MAX_SEEDS_PER_DEFECT && violations.isEmpty(); seed++) {
            violations.addAll(new BillSimulation(seed, defect).run(STEPS));
        }
        assertThat(violations, hasItem(containsString(violation)));
    }

    @Test
    void simulationsCoverAllEvents() {
        Set<CoveredEvent> covered = EnumSet.noneOf(CoveredEvent.class);
        for (long seed = 0; seed < 100; seed++) {
            BillSimulation simulation = new BillSimulation(seed, Defect.NONE);
            simulation.run(STEPS);
            covered.addAll(simulation.coveredEvents().keySet());
        }
        assertThat(covered, equalTo(EnumSet.allOf(CoveredEvent.class)));
    }
}
