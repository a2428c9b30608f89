package org.baobabcart.policy.cascade;

/**
 * When the answer of a small model is dropped for one of a larger model, as the small model's own confidence tells before
 * the first token is passed on. Immutable and thread-safe.
 *
 * <p>The load that it answers: most requests are easy, some are too hard for a small model, and which is known only once it
 * has begun to answer. The larger model pays where what it probably adds to the answer's worth is above its price. A late
 * answer is worth less, so that in a burst, and for prompts that take long to read, the small model's answer is kept. What
 * an answer is worth is not stated anywhere; that its route offers the larger model says that it is worth a multiple of that model's
 * price, and more where its rank is more urgent.
 *
 * @param worthOverPrice what a sufficient answer of the most urgent rank is worth, over its price at the larger model
 * @param partOfNextRank what is left of that with each less urgent rank
 * @param leastWorthOverPrice what is left of it at any rank
 */
public record EscalationPolicy(double worthOverPrice, double partOfNextRank, double leastWorthOverPrice) {
    /** A tenth of the worth for the price: the order of magnitude at which a larger model is offered at all. */
    private static final double DEFAULT_WORTH_OVER_PRICE = 10;

    private static final double DEFAULT_PART_OF_NEXT_RANK = 0.5;
    /** Below this a larger model would hardly be offered. */
    private static final double DEFAULT_LEAST_WORTH_OVER_PRICE = 2.5;

    /** Times to the first token spread so much that some answers are late at half of the time allowed. */
    private static final double PRESSURE_OF_FIRST_LATE_ANSWERS = 0.5;

    private static final double PRESSURE_OF_ALL_LATE = 1.25;
    /** What a late answer is worth of one in time. */
    private static final double LATE_WORTH = 0.3;

    /** The confidence of a model that holds its answer to be as likely sufficient as not. */
    private static final double UNDECIDED = 50;
    /** Confidence is a rough opinion: beyond two of these on either side it is mostly right. */
    private static final double CONFIDENCE_SPREAD = 10;

    /** An escalation for ordinary prices. */
    public static EscalationPolicy defaults() {
        return new EscalationPolicy(
                DEFAULT_WORTH_OVER_PRICE, DEFAULT_PART_OF_NEXT_RANK, DEFAULT_LEAST_WORTH_OVER_PRICE);
    }

    /**
     * Whether a larger model pays.
     *
     * @param confidence the small model's confidence in its answer, from 0 to 100
     * @param rank the request's rank, zero being the most urgent
     * @param pressure when the larger model's answer probably begins, over the time until which it should
     * @param crowding what the request adds to the lateness of others at the larger model, as {@link FirstByteEstimator#crowding}
     */
    public boolean pays(int confidence, int rank, double pressure, double crowding) {
        double worth = Math.max(leastWorthOverPrice, worthOverPrice * Math.pow(partOfNextRank, rank));
        return timeliness(pressure) - sufficiency(confidence) > 1 / worth + crowding;
    }

    /** The chance that the small model's answer is good enough, by a logistic curve of its confidence. */
    private static double sufficiency(int confidence) {
        return 1 / (1 + Math.exp((UNDECIDED - confidence) / CONFIDENCE_SPREAD));
    }

    /** What is left of an answer's worth by the time at which it can be expected. */
    private static double timeliness(double pressure) {
        double late =
                (pressure - PRESSURE_OF_FIRST_LATE_ANSWERS) / (PRESSURE_OF_ALL_LATE - PRESSURE_OF_FIRST_LATE_ANSWERS);
        double lateShare = Math.max(0, Math.min(1, late));
        return 1 - lateShare * (1 - LATE_WORTH);
    }
}
