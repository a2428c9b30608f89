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
import org.baobabcart.policy.claim.ClaimSimulation.Defect;
import org.baobabcart.policy.claim.ClaimSimulation.Happening;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ClaimSimulationTest {
    private static final int STEPS = 400;
    private static final int HISTORIES_WITH_DEFECT = 2000;

    @Property(tries = 3000, seed = "4101")
    void noKeyRunsTwiceAndEveryCallerEndsHonestly(@ForAll long seed) {
        assertThat(new ClaimSimulation(seed, Defect.NONE).run(STEPS), empty());
    }

    @ParameterizedTest
    @CsvSource({
        "NO_VERSION_CHECK, doubled",
        "SENDS_ABANDONED, doubled",
        "SENDS_ABANDONED, not run",
        "FAST_CLOCK, doubled",
        "FORGETS_OPEN_CLAIMS, doubled"
    })
    void theCheckerFindsADefect(Defect defect, String violation) {
        List<String> found = new ArrayList<>();
        for (long seed = 0; seed < HISTORIES_WITH_DEFECT && !has(found, violation); seed++) {
            found.addAll(new ClaimSimulation(seed, defect).run(STEPS));
        }
        assertThat(found, hasItem(containsString(violation)));
    }

    @Test
    void theHistoriesHoldEveryHappening() {
        Set<Happening> seen = EnumSet.noneOf(Happening.class);
        for (long seed = 0; seed < 200; seed++) {
            ClaimSimulation world = new ClaimSimulation(seed, Defect.NONE);
            world.run(STEPS);
            seen.addAll(world.happenings().keySet());
        }
        assertThat(seen, equalTo(EnumSet.allOf(Happening.class)));
    }

    private static boolean has(List<String> found, String violation) {
        return found.stream().anyMatch(text -> text.contains(violation));
    }
}
