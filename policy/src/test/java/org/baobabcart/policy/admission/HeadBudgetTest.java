package org.baobabcart.policy.admission;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class HeadBudgetTest {
    private static final int MEGABYTE = 1024 * 1024;
    private static final HeadBudget.Head SHORT_LINES = new HeadBudget.Head(15_900, 2_600);
    private static final HeadBudget.Head ORDINARY = new HeadBudget.Head(600, 12);

    /** Without a budget all 200 heads of short lines were parsed at once, and ended the process. */
    @Test
    void crowdOfLargeHeadsLeavesMemoryToOrdinaryOnes() {
        HeadBudget<String> budget = HeadBudget.of(5 * MEGABYTE, MEGABYTE);
        long parsed = IntStream.range(0, 200)
                .filter(index -> budget.tryParse(SHORT_LINES))
                .count();
        assertThat(parsed, greaterThan(0L));
        assertThat(budget.parsedBytes(), lessThanOrEqualTo(5L * MEGABYTE / 4 * 3));
        assertThat(budget.tryParse(ORDINARY), is(true));
    }

    @Test
    void memoryIsGivenBack() {
        HeadBudget<String> budget = HeadBudget.of(MEGABYTE, MEGABYTE);
        assertThat(budget.tryParse(SHORT_LINES), is(true));
        assertThat(budget.tryParse(SHORT_LINES), is(false));
        budget.release(SHORT_LINES);
        assertThat(budget.parsedBytes(), is(0L));
        assertThat(budget.tryParse(SHORT_LINES), is(true));
    }

    @Test
    void headLargerThanTheBudgetIsParsedAlone() {
        HeadBudget<String> budget = HeadBudget.of(1_000, MEGABYTE);
        assertThat(budget.tryParse(SHORT_LINES), is(true));
        assertThat(budget.tryParse(ORDINARY), is(false));
    }

    /** Heads that never end: those that hold most go, and ordinary ones stay. */
    @Test
    void connectionsThatHoldMostAreClosedFirst() {
        HeadBudget<String> budget = HeadBudget.of(MEGABYTE, 100_000);
        assertThat(budget.hold("ordinary", 1_000), is(empty()));
        List<String> closed = new ArrayList<>();
        for (int index = 0; index < 50; index++) {
            closed.addAll(budget.hold("endless-" + index, 16_000));
            assertThat(budget.unparsedBytes(), lessThanOrEqualTo(100_000L));
        }
        assertThat(closed.contains("ordinary"), is(false));
        assertThat(closed.size(), greaterThan(40));
    }

    @Test
    void bytesThatWereParsedNoLongerCount() {
        HeadBudget<String> budget = HeadBudget.of(MEGABYTE, 10_000);
        budget.hold("first", 9_000);
        budget.hold("first", 0);
        assertThat(budget.hold("second", 9_000), is(empty()));
        assertThat(budget.unparsedBytes(), is(9_000L));
        assertThat(budget.hold("third", 2_000), contains("second"));
    }
}
