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
import org.baobabcart.policy.bill.BillSimulation.Defect;
import org.baobabcart.policy.bill.BillSimulation.Happening;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class BillSimulationTest {
    private static final int STEPS = 300;
    private static final int HISTORIES_WITH_DEFECT = 500;

    @Property(tries = 1000, seed = "4301")
    void eachRequestHasOneBillUnlessAllItsHoldersDied(@ForAll long seed) {
        assertThat(new BillSimulation(seed, Defect.NONE).run(STEPS), empty());
    }

    @ParameterizedTest
    @CsvSource({
        "TAKES_LOST_ANSWER_FOR_COMMIT, not billed",
        "RELEASES_BEFORE_COMMIT, not billed",
        "NO_RENEWAL, not billed",
        "COUNTS_EVERY_SEGMENT, billed twice"
    })
    void theCheckerFindsADefect(Defect defect, String violation) {
        List<String> found = new ArrayList<>();
        for (long seed = 0; seed < HISTORIES_WITH_DEFECT && found.isEmpty(); seed++) {
            found.addAll(new BillSimulation(seed, defect).run(STEPS));
        }
        assertThat(found, hasItem(containsString(violation)));
    }

    @Test
    void theHistoriesHoldEveryHappening() {
        Set<Happening> seen = EnumSet.noneOf(Happening.class);
        for (long seed = 0; seed < 100; seed++) {
            BillSimulation world = new BillSimulation(seed, Defect.NONE);
            world.run(STEPS);
            seen.addAll(world.happenings().keySet());
        }
        assertThat(seen, equalTo(EnumSet.allOf(Happening.class)));
    }
}
