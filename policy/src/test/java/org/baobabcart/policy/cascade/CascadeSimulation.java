package org.baobabcart.policy.cascade;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;
import java.util.SplittableRandom;
import java.util.function.DoubleUnaryOperator;

/** Runs requests through a two-step cascade whose last step is always good enough. Two kinds of work: easy and hard. */
final class CascadeSimulation {
    private final CascadePolicy policy;
    private final SplittableRandom random;
    private final List<Boolean> cheapFirst = new ArrayList<>();
    private CascadeStatistics knowledge = CascadeStatistics.empty(CascadeSettings.defaults());
    private double goodEnough;

    CascadeSimulation(CascadePolicy policy, long seed) {
        this.policy = policy;
        this.random = new SplittableRandom(seed);
    }

    /** The mean cost; the chance of a good first answer is a function of the work, drawn from 0 to 1. */
    double costPerRequest(CascadePlan plan, DoubleUnaryOperator chanceOfWork, int requests) {
        double cost = 0;
        for (int request = 0; request < requests; request++) {
            double chance = chanceOfWork.applyAsDouble(random.nextDouble());
            cost += run(plan, chance);
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

    private double run(CascadePlan plan, double chance) {
        String kind = chance > 0.5 ? "easy" : "hard";
        int step = policy.firstStep(plan, kind, knowledge, true, random.nextDouble());
        cheapFirst.add(step == 0);
        double cost = plan.steps().get(step).cost();
        if (step == 0) {
            boolean passed = random.nextDouble() < chance;
            CascadeDecision decision =
                    policy.afterAnswer(plan, kind, knowledge, 0, OptionalDouble.of(passed ? 0.9 : 0.3));
            knowledge = knowledge.withAnswer(kind, plan.steps().get(0).reference(), false, passed);
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
