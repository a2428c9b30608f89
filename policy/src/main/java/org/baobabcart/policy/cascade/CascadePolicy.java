package org.baobabcart.policy.cascade;

import java.util.OptionalDouble;

/**
 * Chooses the step that a request starts at and whether an answer is good enough. Immutable and thread-safe.
 *
 * <p>A cheap first step pays where its cost is below what its good answers save: with cost {@code c}, chance {@code p}
 * of a good answer and cost {@code e} of the steps after it, where {@code c < p * e}. As in the cascades of Chen, Zaharia
 * and Zou, "FrugalGPT" (2023), but learned while serving. The chance is taken at the upper end of its confidence
 * interval, so that a step is given up only when ratings show that it costs more than it saves (Auer, Cesa-Bianchi and
 * Fischer, "Finite-time analysis of the multiarmed bandit problem", 2002); old ratings fade and a small share of work
 * goes on trying, so that it is taken up again when the model or the work changes.
 */
public final class CascadePolicy {
    private static final double LEAST_TRUSTED_CHANCE = 0.8;
    private static final double PRIOR_SLOPE = 2.5;
    private static final double LEAST_PRIOR = 0.05;
    private static final double GREATEST_PRIOR = 0.95;

    private final CascadeSettings settings;

    private CascadePolicy(CascadeSettings settings) {
        this.settings = settings;
    }

    /** A policy with these settings. */
    public static CascadePolicy of(CascadeSettings settings) {
        return new CascadePolicy(settings);
    }

    /**
     * The index of the step to try first.
     *
     * @param plan the cascade
     * @param kind the kind of work
     * @param knowledge what ratings have shown so far
     * @param ratingsAvailable whether answers are rated now
     * @param random a random number from 0 inclusive to 1 exclusive
     */
    public int firstStep(
            CascadePlan plan, String kind, CascadeStatistics knowledge, boolean ratingsAvailable, double random) {
        if (!ratingsAvailable) {
            return declaredStep(plan, kind, knowledge, 0);
        }
        int cheapest = cheapestStart(plan, kind, knowledge, 0, false);
        boolean explore = cheapest > 0 && random < settings.explorationShare();
        return explore ? exploredStep(cheapest, random) : cheapest;
    }

    /**
     * What follows an answer of a step.
     *
     * @param plan the cascade
     * @param kind the kind of work
     * @param knowledge what ratings have shown so far
     * @param step the index of the step that answered
     * @param rating the answer's rating, empty where it could not be rated
     */
    public CascadeDecision afterAnswer(
            CascadePlan plan, String kind, CascadeStatistics knowledge, int step, OptionalDouble rating) {
        if (step >= plan.last() || isGoodEnough(plan, kind, knowledge, step, rating)) {
            return CascadeDecision.accept();
        }
        int next = rating.isPresent()
                ? cheapestStart(plan, kind, knowledge, step + 1, true)
                : declaredStep(plan, kind, knowledge, step + 1);
        return CascadeDecision.escalate(next);
    }

    private boolean isGoodEnough(
            CascadePlan plan, String kind, CascadeStatistics knowledge, int step, OptionalDouble rating) {
        return rating.isPresent()
                ? rating.getAsDouble() >= plan.qualityTarget()
                : trustedUnrated(plan, kind, knowledge, step);
    }

    /** The step from which the expected cost is least, seen with optimism. */
    private int cheapestStart(CascadePlan plan, String kind, CascadeStatistics knowledge, int from, boolean escalated) {
        int best = plan.last();
        double bestCost = plan.steps().get(best).cost();
        double costAfter = bestCost;
        for (int step = plan.last() - 1; step >= from; step--) {
            double cost = startCost(plan, kind, knowledge, step, escalated, costAfter);
            if (cost < bestCost) {
                best = step;
                bestCost = cost;
            }
            costAfter = Math.min(costAfter, startCost(plan, kind, knowledge, step, true, costAfter));
        }
        return best;
    }

    private double startCost(
            CascadePlan plan, String kind, CascadeStatistics knowledge, int step, boolean escalated, double costAfter) {
        double chance = optimisticChance(plan, kind, knowledge, step, escalated);
        return plan.steps().get(step).cost() + (1 - chance) * costAfter;
    }

    /** The first step that may answer without a rating; the last one if there is no other. */
    private int declaredStep(CascadePlan plan, String kind, CascadeStatistics knowledge, int from) {
        for (int step = from; step < plan.last(); step++) {
            if (trustedUnrated(plan, kind, knowledge, step)) {
                return step;
            }
        }
        return plan.last();
    }

    /** Whether the declared quality reaches the target and earlier ratings do not contradict it. */
    private boolean trustedUnrated(CascadePlan plan, String kind, CascadeStatistics knowledge, int step) {
        if (!plan.declaredSufficient(step)) {
            return false;
        }
        double chance = optimisticChance(plan, kind, knowledge, step, false);
        return chance >= LEAST_TRUSTED_CHANCE;
    }

    private double optimisticChance(
            CascadePlan plan, String kind, CascadeStatistics knowledge, int step, boolean escalated) {
        CascadeStep offered = plan.steps().get(step);
        double prior = priorChance(offered.declaredQuality() - plan.qualityTarget());
        return knowledge
                .record(kind, offered.reference(), escalated)
                .withPrior(prior, settings.priorWeight())
                .upperBound(settings.standardErrors());
    }

    /** The chance of a good answer that a declared quality promises before anything was rated. */
    private static double priorChance(double qualityAboveTarget) {
        double chance = 0.5 + PRIOR_SLOPE * qualityAboveTarget;
        return Math.max(LEAST_PRIOR, Math.min(GREATEST_PRIOR, chance));
    }

    private int exploredStep(int cheapest, double random) {
        return (int) (random / settings.explorationShare() * cheapest);
    }
}
