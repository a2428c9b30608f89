package org.baobabcart.policy.cascade;

/**
 * Settings of the choice of a cascade's first step. Immutable.
 *
 * @param memory the number of ratings after which an old rating has lost about two thirds of its weight
 * @param priorWeight how many ratings the declared quality is worth
 * @param standardErrors the width of the confidence interval, in standard errors
 * @param explorationShare the share of work that tries an earlier step though it has not paid lately, from 0 to 1
 * @param maximumKinds the number of kinds of work that are told apart
 */
public record CascadeSettings(
        double memory, double priorWeight, double standardErrors, double explorationShare, int maximumKinds) {
    private static final double MEMORY_RATINGS = 300;
    private static final double PRIOR_RATINGS = 2;
    private static final double STANDARD_ERRORS = 1.28;
    private static final double EXPLORATION_SHARE = 0.02;
    private static final int MAXIMUM_KINDS = 256;

    /** The settings that the router uses. */
    public static CascadeSettings defaults() {
        return new CascadeSettings(MEMORY_RATINGS, PRIOR_RATINGS, STANDARD_ERRORS, EXPLORATION_SHARE, MAXIMUM_KINDS);
    }
}
