package org.baobabcart.policy.cascade;

/**
 * Settings of the cascade policy. Immutable.
 *
 * @param memory the decay constant of ratings: after this many newer ratings an old one has lost about two thirds of
 *     its weight
 * @param priorWeight the weight of the declared quality, in ratings
 * @param standardErrors the width of the confidence interval, in standard errors
 * @param explorationShare the share of work that tries an earlier step although it has not paid off lately, from 0 to
 *     1
 * @param maximumRequestClasses the maximum number of request classes that are distinguished
 */
public record CascadeSettings(
        double memory, double priorWeight, double standardErrors, double explorationShare, int maximumRequestClasses) {
    private static final double MEMORY_RATINGS = 300;
    private static final double PRIOR_RATINGS = 2;
    private static final double STANDARD_ERRORS = 1.28;
    private static final double EXPLORATION_SHARE = 0.02;
    private static final int MAXIMUM_KINDS = 256;

    /** Returns the settings that the router uses. */
    public static CascadeSettings defaults() {
        return new CascadeSettings(MEMORY_RATINGS, PRIOR_RATINGS, STANDARD_ERRORS, EXPLORATION_SHARE, MAXIMUM_KINDS);
    }
}
