package org.baobabcart.policy.cascade;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;
import java.util.SplittableRandom;
import java.util.function.DoubleUnaryOperator;

/**
 * Simulates requests to a two-step cascade whose last step is always good enough, with two request classes: easy and
 * hard.
 */
final class CascadeSimulation {
    private final CascadePolicy policy;
    private final SplittableRandom random;
    private final List<Boolean> cheapFirst = new ArrayList<>();
    private CascadeStatistics statistics = CascadeStatistics.empty(CascadeSettings.defaults());
    private double goodEnough;

    CascadeSimulation(CascadePolicy policy, long seed) {
        this.policy = policy;
        this.random = new SplittableRandom(seed);
    }

    /** Returns the mean cost; the probability of a good first answer is a function of the work, drawn from 0 to 1. */
    double costPerRequest(CascadePlan plan, DoubleUnaryOperator probabilityOfWork, int requests) {
        double cost = 0;
        for (int request = 0; request < requests; request++) {
            double probability = probabilityOfWork.applyAsDouble(random.nextDouble());
            cost += run(plan, probability);
        }
        return cost / requests;
    }

    double goodEnoughShare() {
        return goodEnough / cheapFirst.size();
    }

    double cheapFirstShare() {
        return lastCheapFirstShare(cheapFirst.size());
    }

    double lastCheapFirstShare(int requests) {
        List<Boolean> last = cheapFirst.subList(cheapFirst.size() - requests, cheapFirst.size());
        return last.stream().filter(Boolean::booleanValue).count() / (double) requests;
    }

    private double run(CascadePlan plan, double probability) {
        String requestClass = probability > 0.5 ? "easy" : "hard";
        int step = policy.firstStep(plan, requestClass, statistics, true, random.nextDouble());
        cheapFirst.add(step == 0);
        double cost = plan.steps().get(step).cost();
        if (step == 0) {
            boolean passed = random.nextDouble() < probability;
            CascadeDecision decision =
                    policy.afterAnswer(plan, requestClass, statistics, 0, OptionalDouble.of(passed ? 0.9 : 0.3));
            statistics = statistics.withAnswer(requestClass, plan.steps().get(0).reference(), false, passed);
            if (decision.accepted()) {
                goodEnough += passed ? 1 : 0;
                return cost;
            }
            cost += plan.steps().get(decision.nextStep().orElseThrow()).cost();
        }
        goodEnough++;
        return cost;
    }
}
