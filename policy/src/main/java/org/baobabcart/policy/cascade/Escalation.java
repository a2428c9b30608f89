package org.baobabcart.policy.cascade;

import org.baobabcart.model.gateway.ModelSize;

/**
 * When the answer of a small model is dropped for one of a larger model, as the small model's own confidence tells before
 * the first token is passed on. Immutable and thread-safe.
 *
 * <p>The load that it answers: most requests are easy, some are too hard for a small model, and which is known only once it
 * has begun to answer. The larger model pays where the chance that the small one does not suffice, times what a
 * sufficient answer is worth, is above the larger one's price. In a burst the larger model's answers come late, which
 * takes the same worth away and gives its engines' time back to answers of small models.
 *
 * @param leastWorth what a sufficient answer of hardly any length is worth, in the unit of the models' prices
 * @param worthOfToken what each token of its length adds
 * @param mostWorth what no answer's worth exceeds
 */
public record Escalation(double leastWorth, double worthOfToken, double mostWorth) {
    /** A short note: a few times the price of its prompt at a large model. */
    private static final double DEFAULT_LEAST_WORTH = 0.5;
    /** Some twenty times the price of a token of a large model, since callers pay for what they would else write themselves. */
    private static final double DEFAULT_WORTH_OF_TOKEN = 0.008;

    private static final double DEFAULT_MOST_WORTH = 2.5;

    /** Times to the first token spread so much that some answers are late at half of the time allowed. */
    private static final double PRESSURE_OF_FIRST_LATE_ANSWERS = 0.5;

    private static final double PRESSURE_OF_ALL_LATE = 1.25;
    /** What a late answer is worth of one in time. */
    private static final double LATE_WORTH = 0.3;

    private static final double MOST_CONFIDENCE = 100;
    private static final double TOKENS_PER_PRICE = 1000;
    /** Prompt tokens are priced at a quarter of generated ones. */
    private static final double PROMPT_PART = 0.25;

    /** An escalation for ordinary prices. */
    public static Escalation defaults() {
        return new Escalation(DEFAULT_LEAST_WORTH, DEFAULT_WORTH_OF_TOKEN, DEFAULT_MOST_WORTH);
    }

    /**
     * Whether a larger model pays.
     *
     * @param confidence the small model's confidence in its answer, from 0 to 100
     * @param larger the larger model
     * @param promptTokens the length of the prompt
     * @param outputTokens the tokens that the answer probably has
     * @param pressure the time in which the larger model's answers begin, over the time in which they should
     */
    public boolean pays(int confidence, ModelSize larger, int promptTokens, int outputTokens, double pressure) {
        double doubt = Math.max(0, timeliness(pressure) - Math.min(1, confidence / MOST_CONFIDENCE));
        double tokens = outputTokens + promptTokens * PROMPT_PART;
        double price = larger.costPerThousandTokens() * tokens / TOKENS_PER_PRICE;
        double worth = Math.min(mostWorth, leastWorth + worthOfToken * outputTokens);
        return doubt * worth > price;
    }

    /** What is left of an answer's worth by the time at which it can be expected. */
    private static double timeliness(double pressure) {
        double late =
                (pressure - PRESSURE_OF_FIRST_LATE_ANSWERS) / (PRESSURE_OF_ALL_LATE - PRESSURE_OF_FIRST_LATE_ANSWERS);
        double lateShare = Math.max(0, Math.min(1, late));
        return 1 - lateShare * (1 - LATE_WORTH);
    }
}
