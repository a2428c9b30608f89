package org.baobabcart.policy.rollout;

/**
 * Outcomes of one version, counted since a stage began. Immutable.
 *
 * @param successes requests that were answered
 * @param failures requests that failed
 * @param ratings answers that were rated
 * @param ratingSum the sum of the ratings, each from 0 to 1
 * @param ratingSquareSum the sum of the ratings' squares
 */
public record VersionTotals(long successes, long failures, long ratings, double ratingSum, double ratingSquareSum) {
    private static final VersionTotals ZERO = new VersionTotals(0, 0, 0, 0, 0);

    /** Nothing counted. */
    public static VersionTotals zero() {
        return ZERO;
    }

    /** The totals after one more unrated outcome. */
    public VersionTotals withOutcome(boolean success) {
        return new VersionTotals(
                successes + (success ? 1 : 0), failures + (success ? 0 : 1), ratings, ratingSum, ratingSquareSum);
    }

    /** The totals after the rating of an answer that was counted before. */
    public VersionTotals withRating(double rating) {
        return new VersionTotals(
                successes, failures, ratings + 1, ratingSum + rating, ratingSquareSum + rating * rating);
    }

    /** The sum of both. */
    public VersionTotals plus(VersionTotals other) {
        return new VersionTotals(
                successes + other.successes,
                failures + other.failures,
                ratings + other.ratings,
                ratingSum + other.ratingSum,
                ratingSquareSum + other.ratingSquareSum);
    }

    /** What was counted since earlier totals. */
    public VersionTotals since(VersionTotals earlier) {
        return new VersionTotals(
                Math.max(0, successes - earlier.successes),
                Math.max(0, failures - earlier.failures),
                Math.max(0, ratings - earlier.ratings),
                Math.max(0, ratingSum - earlier.ratingSum),
                Math.max(0, ratingSquareSum - earlier.ratingSquareSum));
    }

    /** The number of requests that ended. */
    public long outcomes() {
        return successes + failures;
    }

    /** The number of observations, by which the newer of two totals of one node is known. */
    public long observations() {
        return outcomes() + ratings;
    }

    /** Failures among the outcomes. */
    LossSample failureSample() {
        return LossSample.ofCounts(outcomes(), failures);
    }

    /** What ratings lack to the best one. */
    LossSample ratingSample() {
        double squares = ratings - 2 * ratingSum + ratingSquareSum;
        return new LossSample(ratings, Math.max(0, ratings - ratingSum), Math.max(0, squares));
    }
}
