package org.baobabcart.policy.rollout;

/**
 * Outcomes of one version, counted since a stage began. Immutable.
 *
 * @param successes requests that were answered
 * @param failures requests that failed
 * @param ratings answers that were rated
 * @param ratingSum the sum of the ratings, each from 0 to 1
 * @param ratingSquareSum the sum of the ratings' squares
 * @param timed answers whose time was taken
 * @param latencyLossSum the sum of their losses by time, each from 0 to 1
 * @param latencyLossSquareSum the sum of the squares of these losses
 */
public record VersionTotals(
        long successes,
        long failures,
        long ratings,
        double ratingSum,
        double ratingSquareSum,
        long timed,
        double latencyLossSum,
        double latencyLossSquareSum) {
    private static final VersionTotals ZERO = new VersionTotals(0, 0, 0, 0, 0, 0, 0, 0);

    /** Nothing counted. */
    public static VersionTotals zero() {
        return ZERO;
    }

    /** The totals after one more outcome. */
    public VersionTotals with(VersionOutcome outcome) {
        VersionTotals totals = withOutcome(outcome.success());
        if (outcome.rating().isPresent()) {
            totals = totals.withRating(outcome.rating().getAsDouble());
        }
        return outcome.latencyLoss().isPresent()
                ? totals.withLatencyLoss(outcome.latencyLoss().getAsDouble())
                : totals;
    }

    /** The totals after one more outcome that was neither rated nor timed. */
    public VersionTotals withOutcome(boolean success) {
        return new VersionTotals(
                successes + (success ? 1 : 0),
                failures + (success ? 0 : 1),
                ratings,
                ratingSum,
                ratingSquareSum,
                timed,
                latencyLossSum,
                latencyLossSquareSum);
    }

    /** The totals after the time of an answer that was counted before. */
    public VersionTotals withLatencyLoss(double loss) {
        return new VersionTotals(
                successes,
                failures,
                ratings,
                ratingSum,
                ratingSquareSum,
                timed + 1,
                latencyLossSum + loss,
                latencyLossSquareSum + loss * loss);
    }

    /** The totals after the rating of an answer that was counted before. */
    public VersionTotals withRating(double rating) {
        return new VersionTotals(
                successes,
                failures,
                ratings + 1,
                ratingSum + rating,
                ratingSquareSum + rating * rating,
                timed,
                latencyLossSum,
                latencyLossSquareSum);
    }

    /** The sum of both. */
    public VersionTotals plus(VersionTotals other) {
        return new VersionTotals(
                successes + other.successes,
                failures + other.failures,
                ratings + other.ratings,
                ratingSum + other.ratingSum,
                ratingSquareSum + other.ratingSquareSum,
                timed + other.timed,
                latencyLossSum + other.latencyLossSum,
                latencyLossSquareSum + other.latencyLossSquareSum);
    }

    /** What was counted since earlier totals. */
    public VersionTotals since(VersionTotals earlier) {
        return new VersionTotals(
                Math.max(0, successes - earlier.successes),
                Math.max(0, failures - earlier.failures),
                Math.max(0, ratings - earlier.ratings),
                Math.max(0, ratingSum - earlier.ratingSum),
                Math.max(0, ratingSquareSum - earlier.ratingSquareSum),
                Math.max(0, timed - earlier.timed),
                Math.max(0, latencyLossSum - earlier.latencyLossSum),
                Math.max(0, latencyLossSquareSum - earlier.latencyLossSquareSum));
    }

    /** The number of requests that ended. */
    public long outcomes() {
        return successes + failures;
    }

    /** The number of observations, by which the newer of two totals of one node is known. */
    public long observations() {
        return outcomes() + ratings + timed;
    }

    /** Failures among the outcomes. */
    LossSample failureSample() {
        return LossSample.ofCounts(outcomes(), failures);
    }

    /** What answers lose by their time. */
    LossSample latencySample() {
        return new LossSample(timed, latencyLossSum, latencyLossSquareSum);
    }

    /** What ratings lack to the best one. */
    LossSample ratingSample() {
        double squares = ratings - 2 * ratingSum + ratingSquareSum;
        return new LossSample(ratings, Math.max(0, ratings - ratingSum), Math.max(0, squares));
    }
}
