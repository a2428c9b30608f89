package org.baobabcart.policy.cascade;

/**
 * Counts answers that did and did not reach the target, with exponential decay of older ones. Immutable.
 *
 * @param passes the decayed number of answers that reached the target
 * @param failures the decayed number of the other answers
 */
record PassRate(double passes, double failures) {
    private static final PassRate EMPTY = new PassRate(0, 0);

    static PassRate empty() {
        return EMPTY;
    }

    /**
     * Returns this rate with one more answer; the weight of earlier answers is multiplied by {@code 1 - 1 / memory}.
     */
    PassRate with(boolean passed, double memory) {
        double decay = 1 - 1 / memory;
        return new PassRate(passes * decay + (passed ? 1 : 0), failures * decay + (passed ? 0 : 1));
    }

    /** Returns this rate with a prior mean, weighted as that many answers. */
    PassRate withPrior(double mean, double weight) {
        return new PassRate(passes + mean * weight, failures + (1 - mean) * weight);
    }

    double weight() {
        return passes + failures;
    }

    double mean() {
        return passes / weight();
    }

    /**
     * Returns the upper bound of the score interval (Wilson, "Probable inference, the law of succession, and
     * statistical inference", 1927).
     */
    double upperBound(double standardErrors) {
        double square = standardErrors * standardErrors;
        double weight = weight();
        double centre = mean() + square / (2 * weight);
        double spread = Math.sqrt(mean() * (1 - mean()) / weight + square / (4 * weight * weight));
        return Math.min(1, (centre + standardErrors * spread) / (1 + square / weight));
    }
}
