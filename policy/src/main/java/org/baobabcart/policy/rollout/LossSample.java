package org.baobabcart.policy.rollout;

/**
 * Summary statistics of losses between 0 and 1. Immutable.
 *
 * @param count the number of observations
 * @param sum the sum of their losses
 * @param squareSum the sum of the squares of their losses
 */
record LossSample(double count, double sum, double squareSum) {
    /** Creates a sample of losses that are either 0 or 1. */
    static LossSample ofCounts(double count, double losses) {
        return new LossSample(count, losses, losses);
    }

    double mean() {
        return count == 0 ? 0 : Math.min(1, sum / count);
    }

    /** Returns the sum of the squared deviations from a center. */
    double squaredDeviations(double center) {
        return Math.max(0, squareSum - 2 * center * sum + count * center * center);
    }
}
