package org.baobabcart.policy.claim;

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
import org.baobabcart.policy.claim.ClaimSimulation.CoveredEvent;
import org.baobabcart.policy.claim.ClaimSimulation.Defect;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ClaimSimulationTest {
    private static final int STEPS = 400;
    private static final int MAX_SEEDS_PER_DEFECT = 2000;

    @Property(tries = 3000, seed = "4101")
    void noKeyRunsTwiceAndEveryCallerGetsACorrectResult(@ForAll long seed) {
        assertThat(new ClaimSimulation(seed, Defect.NONE).run(STEPS), empty());
    }

    @ParameterizedTest
    @CsvSource({
        "NO_VERSION_CHECK, duplicate run",
        "SENDS_ABANDONED, duplicate run",
        "SENDS_ABANDONED, not run",
        "FAST_CLOCK, duplicate run",
        "FORGETS_OPEN_CLAIMS, duplicate run"
    })
    void checkerDetectsInjectedDefect(Defect defect, String violation) {
        List<String> violations = new ArrayList<>();
        for (long seed = 0; seed < MAX_SEEDS_PER_DEFECT && !containsViolation(violations, violation); seed++) {
            violations.addAll(new ClaimSimulation(seed, defect).run(STEPS));
        }
        assertThat(violations, hasItem(containsString(violation)));
    }

    @Test
    void simulationsCoverAllEvents() {
        Set<CoveredEvent> covered = EnumSet.noneOf(CoveredEvent.class);
        for (long seed = 0; seed < 200; seed++) {
            ClaimSimulation simulation = new ClaimSimulation(seed, Defect.NONE);
            simulation.run(STEPS);
            covered.addAll(simulation.coveredEvents().keySet());
        }
        assertThat(covered, equalTo(EnumSet.allOf(CoveredEvent.class)));
    }

    private static boolean containsViolation(List<String> violations, String violation) {
        return violations.stream().anyMatch(text -> text.contains(violation));
    }
}
