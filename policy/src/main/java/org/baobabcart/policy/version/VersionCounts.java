package org.baobabcart.policy.version;

/**
 * Outcomes of one version on one kind of work. Immutable.
 *
 * <p>Times are kept as sums of their logarithms, since they spread over orders of magnitude.
 *
 * @param answers answers without a fault
 * @param failures answers with a fault, and attempts that ended without one
 * @param times times that were taken
 * @param logSum the sum of the logarithms of the times
 * @param logSquareSum the sum of the squares of the logarithms
 */
public record VersionCounts(long answers, long failures, long times, double logSum, double logSquareSum) {
    private static final VersionCounts NONE = new VersionCounts(0, 0, 0, 0, 0);
    private static final double LEAST_MILLIS = 0.01;

    /** Nothing counted. */
    public static VersionCounts none() {
        return NONE;
    }

    /** The counts after one more answer. */
    public VersionCounts withAnswer() {
        return new VersionCounts(answers + 1, failures, times, logSum, logSquareSum);
    }

    /** The counts after one more failure. */
    public VersionCounts withFailure() {
        return new VersionCounts(answers, failures + 1, times, logSum, logSquareSum);
    }

    /** The counts after one more time. */
    public VersionCounts withTime(double millis) {
        double log = Math.log(Math.max(LEAST_MILLIS, millis));
        return new VersionCounts(answers, failures, times + 1, logSum + log, logSquareSum + log * log);
    }

    /** The sum of both. */
    public VersionCounts plus(VersionCounts other) {
        return new VersionCounts(
                answers + other.answers,
                failures + other.failures,
                times + other.times,
                logSum + other.logSum,
                logSquareSum + other.logSquareSum);
    }

    /** All answers and failures. */
    public long total() {
        return answers + failures;
    }

    /** The part of failures in all that was counted. */
    public double failureRate() {
        return total() == 0 ? 0 : (double) failures / total();
    }

    /** The mean of the logarithms of the times. */
    double logMean() {
        return times == 0 ? 0 : logSum / times;
    }

    /** The variance of that mean. */
    double logMeanVariance() {
        double mean = logMean();
        double variance = times < 2 ? 0 : Math.max(0, (logSquareSum - times * mean * mean) / (times - 1));
        return times == 0 ? 0 : variance / times;
    }
}
