package org.baobabcart.policy.attempt;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.OptionalDouble;
import java.util.function.ToDoubleFunction;
import java.util.stream.LongStream;
import org.baobabcart.policy.attempt.FirstByteReplay.Load;
import org.baobabcart.policy.attempt.FirstByteReplay.Outcome;
import org.baobabcart.policy.attempt.FirstByteReplay.Rule;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Replays prompts of very different lengths by the current rule and by the one before it. */
class FirstByteReplayTest {
    /** Callers notice no more than one further late answer in a hundred. */
    private static final double MAX_HARM = 0.01;
    /** Under overload, further attempts are work that answers nobody. */
    private static final double MAX_MORE_ATTEMPTS = 0.1;

    @ParameterizedTest
    @EnumSource(names = {"FEW_LONG", "HALF_LONG"})
    void shortPromptsAreTimelyMoreOftenThanByPreviousRule(Load load) {
        for (long seed = 1; seed <= 3; seed++) {
            Outcome current = FirstByteReplay.run(Rule.CURRENT, load, seed);
            Outcome previous = FirstByteReplay.run(Rule.PREVIOUS, load, seed);
            assertThat(load + " seed " + seed, current.timelyShort(), greaterThan(previous.timelyShort()));
            assertThat(
                    load + " long prompts, seed " + seed,
                    current.timelyLong(),
                    greaterThanOrEqualTo(previous.timelyLong() - MAX_HARM));
        }
    }

    /** Seeds differ widely under overload, since engines never catch up. */
    @Test
    void overloadIsNotMadeWorse() {
        assertThat(
                mean(Rule.CURRENT, Outcome::attempts),
                lessThanOrEqualTo(mean(Rule.PREVIOUS, Outcome::attempts) + MAX_MORE_ATTEMPTS));
        assertThat(
                mean(Rule.CURRENT, Outcome::timelyShort),
                greaterThanOrEqualTo(mean(Rule.PREVIOUS, Outcome::timelyShort) - MAX_HARM));
        assertThat(
                mean(Rule.CURRENT, Outcome::timelyLong),
                greaterThanOrEqualTo(mean(Rule.PREVIOUS, Outcome::timelyLong) - MAX_HARM));
    }

    private static double mean(Rule rule, ToDoubleFunction<Outcome> figure) {
        return LongStream.rangeClosed(1, 10)
                .mapToObj(seed -> FirstByteReplay.run(rule, Load.OVERLOAD, seed))
                .mapToDouble(figure)
                .average()
                .orElseThrow();
    }

    @Test
    void thereIsNoEarlyReplacementWithoutTimeForAnotherAttempt() {
        assertThat(FirstBytePolicy.replaceAfterNanos(1_000, 125), is(OptionalDouble.of(500)));
        assertThat(FirstBytePolicy.replaceAfterNanos(1_000, 126), is(OptionalDouble.empty()));
        assertThat(FirstBytePolicy.replaceAfterNanos(-1, 1), is(OptionalDouble.empty()));
        assertThat(FirstBytePolicy.replaceAfterNanos(1_000, 0), is(OptionalDouble.empty()));
    }
}
