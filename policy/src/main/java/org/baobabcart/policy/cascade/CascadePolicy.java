package org.baobabcart.policy.cascade;

import java.util.OptionalDouble;

/**
 * Chooses the first step of a cascade and decides whether an answer is good enough. Immutable and thread-safe.
 *
 * <p>A cheap first step pays off if its cost {@code c} is below the expected savings: {@code c < p * e}, with
 * probability {@code p} of a good answer and cost {@code e} of the following steps. This is the cascade of Chen,
 * Zaharia and Zou, "FrugalGPT" (2023), but learned online. The probability is the upper bound of its confidence
 * interval, so that a step is skipped only once ratings show that it costs more than it saves (Auer, Cesa-Bianchi and
 * Fischer, "Finite-time analysis of the multiarmed bandit problem", 2002). Old ratings decay and a small share of work
 * explores skipped steps, so that a step is used again after the model or the work has changed.
 */
public final class CascadePolicy {
    private static final double MINIMUM_TRUSTED_PROBABILITY = 0.8;
    private static final double PRIOR_SLOPE = 2.5;
    private static final double MINIMUM_PRIOR = 0.05;
    private static final double MAXIMUM_PRIOR = 0.95;

    private final CascadeSettings settings;

    private CascadePolicy(CascadeSettings settings) {
        this.settings = settings;
    }

    /** Creates a policy. */
    public static CascadePolicy of(CascadeSettings settings) {
        return new CascadePolicy(settings);
    }

    /**
     * Returns the index of the step to try first.
     *
     * @param plan the cascade
     * @param requestClass the request class
     * @param statistics the statistics of rated answers
     * @param ratingsAvailable whether answers are rated now
     * @param random a random number from 0 inclusive to 1 exclusive
     */
    public int firstStep(
            CascadePlan plan,
            String requestClass,
            CascadeStatistics statistics,
            boolean ratingsAvailable,
            double random) {
        if (!ratingsAvailable) {
            return declaredStep(plan, requestClass, statistics, 0);
        }
        int cheapest = cheapestStart(plan, requestClass, statistics, 0, false);
        boolean isExploring = cheapest > 0 && random < settings.explorationShare();
        return isExploring ? explorationStep(cheapest, random) : cheapest;
    }

    /**
     * Decides whether the answer of a step is accepted or another step is tried.
     *
     * @param plan the cascade
     * @param requestClass the request class
     * @param statistics the statistics of rated answers
     * @param step the index of the step that answered
     * @param rating the answer's rating; empty if it could not be rated
     */
    public CascadeDecision afterAnswer(
            CascadePlan plan, String requestClass, CascadeStatistics statistics, int step, OptionalDouble rating) {
        if (step >= plan.last() || isGoodEnough(plan, requestClass, statistics, step, rating)) {
            return CascadeDecision.accept();
        }
        int next = rating.isPresent()
                ? cheapestStart(plan, requestClass, statistics, step + 1, true)
                : declaredStep(plan, requestClass, statistics, step + 1);
        return CascadeDecision.escalate(next);
    }

    private boolean isGoodEnough(
            CascadePlan plan, String requestClass, CascadeStatistics statistics, int step, OptionalDouble rating) {
        return rating.isPresent()
                ? rating.getAsDouble() >= plan.qualityTarget()
                : isTrustedUnrated(plan, requestClass, statistics, step);
    }

    /** Returns the step to start at with the least expected cost, by the upper bounds of the probabilities. */
    private int cheapestStart(
            CascadePlan plan, String requestClass, CascadeStatistics statistics, int from, boolean escalated) {
        int best = plan.last();
        double bestCost = plan.steps().get(best).cost();
        double costAfter = bestCost;
        for (int step = plan.last() - 1; step >= from; step--) {
            double cost = startCost(plan, requestClass, statistics, step, escalated, costAfter);
            if (cost < bestCost) {
                best = step;
                bestCost = cost;
            }
            costAfter = Math.min(costAfter, startCost(plan, requestClass, statistics, step, true, costAfter));
        }
        return best;
    }

    private double startCost(
            CascadePlan plan,
            String requestClass,
            CascadeStatistics statistics,
            int step,
            boolean escalated,
            double costAfter) {
        double probability = upperBoundProbability(plan, requestClass, statistics, step, escalated);
        return plan.steps().get(step).cost() + (1 - probability) * costAfter;
    }

    /** Returns the first step whose unrated answers are accepted, or the last step if there is none. */
    private int declaredStep(CascadePlan plan, String requestClass, CascadeStatistics statistics, int from) {
        for (int step = from; step < plan.last(); step++) {
            if (isTrustedUnrated(plan, requestClass, statistics, step)) {
                return step;
            }
        }
        return plan.last();
    }

    /** Returns whether the declared quality reaches the target and earlier ratings do not contradict it. */
    private boolean isTrustedUnrated(CascadePlan plan, String requestClass, CascadeStatistics statistics, int step) {
        if (!plan.declaredSufficient(step)) {
            return false;
        }
        double probability = upperBoundProbability(plan, requestClass, statistics, step, false);
        return probability >= MINIMUM_TRUSTED_PROBABILITY;
    }

    private double upperBoundProbability(
            CascadePlan plan, String requestClass, CascadeStatistics statistics, int step, boolean escalated) {
        CascadeStep candidate = plan.steps().get(step);
        double prior = priorProbability(candidate.declaredQuality() - plan.qualityTarget());
        return statistics
                .passRate(requestClass, candidate.reference(), escalated)
                .withPrior(prior, settings.priorWeight())
                .upperBound(settings.standardErrors());
    }

    /** Returns the prior probability of a good answer for a declared quality. */
    private static double priorProbability(double qualityAboveTarget) {
        double probability = 0.5 + PRIOR_SLOPE * qualityAboveTarget;
        return Math.max(MINIMUM_PRIOR, Math.min(MAXIMUM_PRIOR, probability));
    }

    private int explorationStep(int cheapest, double random) {
        return (int) (random / settings.explorationShare() * cheapest);
    }
}
