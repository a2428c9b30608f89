package org.baobabcart.policy.cascade;

/**
 * Decides whether the answer of a small model is discarded in favour of one of a larger model, from the confidence
 * that the small model reports before its first token is passed on. Immutable and thread-safe.
 *
 * <p>Most requests are easy and some are too hard for a small model, which is known only once it has started to
 * answer. The larger model pays off if the expected gain in the answer's worth exceeds its price. A late answer is
 * worth less, so that the small model's answer is kept during a burst and for prompts that take long to process. The
 * worth of an answer is not configured: since the route offers the larger model, an answer is taken to be worth a
 * multiple of that model's price, and more in more urgent ranks.
 *
 * @param worthOverPrice the worth of a sufficient answer of the most urgent rank, divided by its price at the larger
 *     model
 * @param rankFactor the factor by which that worth shrinks with each less urgent rank
 * @param minimumWorthOverPrice the minimum of that worth for any rank
 */
public record EscalationPolicy(double worthOverPrice, double rankFactor, double minimumWorthOverPrice) {
    /** The price is a tenth of the worth: the order of magnitude at which a larger model is offered at all. */
    private static final double DEFAULT_WORTH_OVER_PRICE = 10;

    private static final double DEFAULT_RANK_FACTOR = 0.5;
    /** Below this ratio a larger model would hardly be offered. */
    private static final double DEFAULT_MINIMUM_WORTH_OVER_PRICE = 2.5;

    /** Times to the first token vary so much that some answers are late when the expected time is half the target. */
    private static final double PRESSURE_AT_FIRST_LATE = 0.5;

    private static final double PRESSURE_AT_ALL_LATE = 1.25;
    /** The worth of a late answer relative to one in time. */
    private static final double LATE_WORTH_SHARE = 0.3;

    /** The confidence at which an answer is as likely sufficient as not. */
    private static final double CONFIDENCE_MIDPOINT = 50;
    /** Confidence is a rough estimate: more than two of these away from the midpoint it is mostly right. */
    private static final double CONFIDENCE_SPREAD = 10;

    /** Returns a policy for usual prices. */
    public static EscalationPolicy defaults() {
        return new EscalationPolicy(DEFAULT_WORTH_OVER_PRICE, DEFAULT_RANK_FACTOR, DEFAULT_MINIMUM_WORTH_OVER_PRICE);
    }

    /**
     * Returns whether escalating to the larger model pays off.
     *
     * @param confidence the small model's confidence in its answer, from 0 to 100
     * @param rank the request's rank, zero being the most urgent
     * @param pressure the expected time to the first byte from the larger model divided by its target
     * @param crowding the delay that the request adds to others at the larger model, see {@link
     *     FirstByteEstimator#crowding}
     */
    public boolean isWorthwhile(int confidence, int rank, double pressure, double crowding) {
        double worth = Math.max(minimumWorthOverPrice, worthOverPrice * Math.pow(rankFactor, rank));
        return timeliness(pressure) - sufficiency(confidence) > 1 / worth + crowding;
    }

    /**
     * Returns the probability that the small model's answer is sufficient, as a logistic function of its confidence.
     */
    private static double sufficiency(int confidence) {
        return 1 / (1 + Math.exp((CONFIDENCE_MIDPOINT - confidence) / CONFIDENCE_SPREAD));
    }

    /** Returns the share of an answer's worth that is left at its expected time. */
    private static double timeliness(double pressure) {
        double late = (pressure - PRESSURE_AT_FIRST_LATE) / (PRESSURE_AT_ALL_LATE - PRESSURE_AT_FIRST_LATE);
        double lateShare = Math.max(0, Math.min(1, late));
        return 1 - lateShare * (1 - LATE_WORTH_SHARE);
    }
}
