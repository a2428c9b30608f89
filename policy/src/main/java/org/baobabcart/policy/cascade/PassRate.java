package org.baobabcart.policy.cascade;

/**
 * How often answers reached the target, the older ones weighing less. Immutable.
 *
 * @param passes the weight of answers that reached the target
 * @param failures the weight of the others
 */
record PassRate(double passes, double failures) {
    private static final PassRate EMPTY = new PassRate(0, 0);

    static PassRate empty() {
        return EMPTY;
    }

    /** The record after one more answer; the weight of older ones decays by {@code 1 - 1 / memory}. */
    PassRate with(boolean passed, double memory) {
        double kept = 1 - 1 / memory;
        return new PassRate(passes * kept + (passed ? 1 : 0), failures * kept + (passed ? 0 : 1));
    }

    /** The record with a prior mean that is worth some answers. */
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
     * The upper end of the score interval (Wilson, "Probable inference, the law of succession, and statistical
     * inference", 1927).
     */
    double upperBound(double standardErrors) {
        double square = standardErrors * standardErrors;
        double weight = weight();
        double centre = mean() + square / (2 * weight);
        double spread = Math.sqrt(mean() * (1 - mean()) / weight + square / (4 * weight * weight));
        return Math.min(1, (centre + standardErrors * spread) / (1 + square / weight));
    }
}
