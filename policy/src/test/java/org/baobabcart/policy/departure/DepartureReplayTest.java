package org.baobabcart.policy.departure;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import org.baobabcart.policy.departure.DepartureReplay.Load;
import org.baobabcart.policy.departure.DepartureReplay.Outcome;
import org.baobabcart.policy.departure.DepartureReplay.Rule;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Replays loads of a service in three data centres by the current rule and by the one before it. */
class DepartureReplayTest {
    /** Callers with a target of 150 ms notice no more than one late answer in a hundred elsewhere. */
    private static final double MAX_HARM_ELSEWHERE = 0.01;
    /** A data centre that is back gets at most half of its requests back within a second. */
    private static final double MAX_RETURN_PER_SECOND = 0.5;

    @ParameterizedTest
    @EnumSource(names = {"FEW_PLACES", "SLOW", "BURST"})
    void moreAnswersAreTimelyThanByPreviousRule(Load load) {
        for (long seed = 1; seed <= 3; seed++) {
            Outcome current = DepartureReplay.run(Rule.CURRENT, load, seed);
            Outcome previous = DepartureReplay.run(Rule.PREVIOUS, load, seed);
            assertThat(load + " seed " + seed, current.timelyShare(), greaterThan(previous.timelyShare()));
            assertThat(
                    load + " elsewhere, seed " + seed,
                    current.timelyShareElsewhere(),
                    greaterThan(previous.timelyShareElsewhere() - MAX_HARM_ELSEWHERE));
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void nothingLeavesWithoutGain(long seed) {
        assertThat(DepartureReplay.run(Rule.CURRENT, Load.EVEN, seed).departedShare(), is(0.0));
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void requestsReturnGraduallyToDataCentreThatIsBack(long seed) {
        Outcome outcome = DepartureReplay.run(Rule.CURRENT, Load.LOST, seed);
        int returned = (int) (DepartureReplay.DISTURBED_TO_MILLIS / DepartureReplay.BUCKET_MILLIS);
        assertThat(outcome.departedByBucket().get(returned - 1), is(1.0));
        for (int bucket = returned; bucket < outcome.departedByBucket().size(); bucket++) {
            double change = outcome.departedByBucket().get(bucket - 1)
                    - outcome.departedByBucket().get(bucket);
            assertThat("seed " + seed + ", second " + bucket, change, lessThanOrEqualTo(MAX_RETURN_PER_SECOND));
        }
        assertThat(outcome.departedByBucket().get(outcome.departedByBucket().size() - 2), lessThan(0.05));
        assertThat(
                "timely as before",
                outcome.timelyShare(),
                greaterThan(DepartureReplay.run(Rule.PREVIOUS, Load.LOST, seed).timelyShare() - MAX_HARM_ELSEWHERE));
    }
}
