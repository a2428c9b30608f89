package org.baobabcart.policy.cascade;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.either;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.List;
import java.util.OptionalDouble;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class CascadePolicyTest {
    private static final String REQUEST_CLASS = "quote";
    private static final double TARGET = 0.8;
    private static final CascadeSettings SETTINGS = CascadeSettings.defaults();

    private final CascadePolicy policy = CascadePolicy.of(SETTINGS);

    @Property(seed = "1101", tries = 300)
    void answerBelowTheTargetIsAcceptedOnlyFromTheLastStep(
            @ForAll @IntRange(min = 1, max = 5) int steps,
            @ForAll @IntRange(min = 0, max = 4) int step,
            @ForAll @DoubleRange(min = 0, max = 1) double rating,
            @ForAll @Size(max = 40) List<Boolean> history) {
        CascadePlan plan = cascadeOf(steps, 0.7);
        int answered = Math.min(step, plan.last());
        CascadeStatistics statistics = statisticsOf(plan.steps().get(answered).reference(), history);
        CascadeDecision decision =
                policy.afterAnswer(plan, REQUEST_CLASS, statistics, answered, OptionalDouble.of(rating));
        boolean last = answered == plan.last();
        assertThat(decision.accepted(), is(last || rating >= TARGET));
        decision.nextStep().ifPresent(next -> {
            assertThat(next, greaterThanOrEqualTo(answered + 1));
            assertThat(next, lessThanOrEqualTo(plan.last()));
        });
    }

    @Property(seed = "1102", tries = 300)
    void unratedAnswersComeOnlyFromSufficientOrLastStep(
            @ForAll @IntRange(min = 1, max = 5) int steps,
            @ForAll @DoubleRange(min = 0, max = 1) double lowest,
            @ForAll @DoubleRange(min = 0, max = 0.99) double random,
            @ForAll @Size(max = 40) List<Boolean> history) {
        CascadePlan plan = cascadeOf(steps, lowest);
        CascadeStatistics statistics = statisticsOf(plan.steps().get(0).reference(), history);
        int first = policy.firstStep(plan, REQUEST_CLASS, statistics, false, random);
        assertThat(first, either(equalTo(plan.last())).or(declaredSufficient(plan, first)));
        boolean accepted = policy.afterAnswer(plan, REQUEST_CLASS, statistics, first, OptionalDouble.empty())
                .accepted();
        assertThat(accepted, is(true));
        if (!plan.declaredSufficient(0) && plan.last() > 0) {
            assertThat(
                    policy.afterAnswer(plan, REQUEST_CLASS, statistics, 0, OptionalDouble.empty())
                            .accepted(),
                    is(false));
        }
    }

    @Property(seed = "1103", tries = 200)
    void costStaysNearTheBestFixedChoice(
            @ForAll @DoubleRange(min = 0, max = 1) double probability,
            @ForAll @DoubleRange(min = 0.02, max = 0.95) double cheapCost,
            @ForAll @IntRange(min = 1, max = 1_000_000) int seed) {
        CascadeSimulation simulation = new CascadeSimulation(policy, seed);
        double cost = simulation.costPerRequest(twoSteps(cheapCost, 0.7), work -> probability, 2_000);
        double best = Math.min(1, cheapCost + 1 - probability);
        assertThat(cost, lessThanOrEqualTo(best + 0.09));
        assertThat(simulation.goodEnoughShare(), equalTo(1.0));
    }

    @Test
    void unprofitableStepIsSkippedAndUsedAgainOnceItPaysOff() {
        CascadeSimulation simulation = new CascadeSimulation(policy, 7);
        CascadePlan plan = twoSteps(0.2, 0.7);
        simulation.costPerRequest(plan, work -> 0.9, 500);
        assertThat(simulation.cheapFirstShare(), greaterThanOrEqualTo(0.99));
        simulation.costPerRequest(plan, work -> 0.0, 2_000);
        assertThat(simulation.lastCheapFirstShare(500), lessThan(0.06));
        simulation.costPerRequest(plan, work -> 0.9, 4_000);
        assertThat(simulation.lastCheapFirstShare(500), greaterThanOrEqualTo(0.95));
    }

    @Test
    void ratingsOverrideTooHighDeclaredQuality() {
        CascadePlan plan = twoSteps(0.1, 0.9);
        CascadeStatistics statistics = CascadeStatistics.empty(SETTINGS);
        assertThat(policy.firstStep(plan, REQUEST_CLASS, statistics, false, 0.5), equalTo(0));
        for (int index = 0; index < 30; index++) {
            statistics =
                    statistics.withAnswer(REQUEST_CLASS, plan.steps().get(0).reference(), false, false);
        }
        assertThat(policy.firstStep(plan, REQUEST_CLASS, statistics, false, 0.5), equalTo(1));
        assertThat(policy.firstStep(plan, "another kind", statistics, false, 0.5), equalTo(0));
    }

    @Property(seed = "1104", tries = 20)
    void numberOfRequestClassesIsBounded(@ForAll @IntRange(min = 1, max = 2_000) int requestClasses) {
        CascadeStatistics statistics = CascadeStatistics.empty(SETTINGS);
        for (int requestClass = 0; requestClass < requestClasses; requestClass++) {
            statistics = statistics.withAnswer("kind-" + requestClass, "step", false, true);
        }
        assertThat(statistics.requestClasses(), lessThanOrEqualTo(SETTINGS.maximumRequestClasses() + 1));
    }

    /** Prints the table of docs/design/cascades.md and asserts its claims. */
    @Test
    void costIsBelowAlwaysLargeAndAlwaysCheapFirst() {
        CascadePlan plan = twoSteps(0.1, 0.7);
        for (double easyShare : new double[] {0.9, 0.5, 0.1, 0}) {
            CascadeSimulation simulation = new CascadeSimulation(policy, 42);
            double cost = simulation.costPerRequest(plan, work -> work < easyShare ? 0.95 : 0.02, 20_000);
            double alwaysCheapFirst = plan.steps().get(0).cost() + 1 - (0.95 * easyShare + 0.02 * (1 - easyShare));
            double smallGood = 0.95 * easyShare + 0.02 * (1 - easyShare);
            System.out.printf(
                    "cascade: easy %.1f cost %.3f always-large 1.000 always-cheap-first %.3f small-only good %.3f%n",
                    easyShare, cost, alwaysCheapFirst, smallGood);
            assertThat(cost, lessThan(Math.min(1.005, alwaysCheapFirst + 0.005)));
            assertThat(simulation.goodEnoughShare(), equalTo(1.0));
        }
    }

    private static org.hamcrest.Matcher<Integer> declaredSufficient(CascadePlan plan, int step) {
        return plan.declaredSufficient(step) ? equalTo(step) : equalTo(-1);
    }

    private static CascadeStatistics statisticsOf(String reference, List<Boolean> history) {
        CascadeStatistics statistics = CascadeStatistics.empty(SETTINGS);
        for (boolean passed : history) {
            statistics = statistics.withAnswer(REQUEST_CLASS, reference, false, passed);
        }
        return statistics;
    }

    private static CascadePlan cascadeOf(int steps, double lowestQuality) {
        return new CascadePlan(
                TARGET,
                java.util.stream.IntStream.range(0, steps)
                        .mapToObj(step -> new CascadeStep(
                                "model-" + step, Math.pow(3, step), Math.min(1, lowestQuality + 0.1 * step)))
                        .toList());
    }

    private static CascadePlan twoSteps(double cheapCost, double cheapQuality) {
        return new CascadePlan(
                TARGET, List.of(new CascadeStep("small", cheapCost, cheapQuality), new CascadeStep("large", 1, 0.95)));
    }
}
