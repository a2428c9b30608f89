package org.baobabcart.policy.rollout;

/**
 * Outcomes of one version, counted since the start of a stage. Immutable.
 *
 * @param successes the number of answered requests
 * @param failures the number of failed requests
 * @param ratings the number of rated answers
 * @param ratingSum the sum of the ratings, each from 0 to 1
 * @param ratingSquareSum the sum of the squares of the ratings
 * @param timed the number of answers with a latency loss
 * @param latencyLossSum the sum of the latency losses, each from 0 to 1
 * @param latencyLossSquareSum the sum of the squares of the latency losses
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

    /** Returns empty totals. */
    public static VersionTotals zero() {
        return ZERO;
    }

    /** Returns the totals with one more outcome. */
    public VersionTotals with(VersionOutcome outcome) {
        VersionTotals totals = withOutcome(outcome.success());
        if (outcome.rating().isPresent()) {
            totals = totals.withRating(outcome.rating().getAsDouble());
        }
        return outcome.latencyLoss().isPresent()
                ? totals.withLatencyLoss(outcome.latencyLoss().getAsDouble())
                : totals;
    }

    /** Returns the totals with one more outcome that has neither a rating nor a latency loss. */
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

    /** Adds the latency loss of an answer that was counted before. */
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

    /** Adds the rating of an answer that was counted before. */
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

    /** Returns the sum of both totals. */
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

    /** Returns the outcomes counted since earlier totals. */
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

    /** Returns the number of completed requests, successful or not. */
    public long outcomes() {
        return successes + failures;
    }

    /** Returns the number of observations, which identifies the newer of two totals of one node. */
    public long observations() {
        return outcomes() + ratings + timed;
    }

    /** Returns the failures among all outcomes. */
    LossSample failureSample() {
        return LossSample.ofCounts(outcomes(), failures);
    }

    /** Returns the latency losses. */
    LossSample latencySample() {
        return new LossSample(timed, latencyLossSum, latencyLossSquareSum);
    }

    /** Returns the differences between the ratings and the best rating. */
    LossSample ratingSample() {
        double squares = ratings - 2 * ratingSum + ratingSquareSum;
        return new LossSample(ratings, Math.max(0, ratings - ratingSum), Math.max(0, squares));
    }
}
