package org.baobabcart.policy.version;

/**
 * Outcomes of one version for one request class. Immutable.
 *
 * @param answers the number of successful answers
 * @param failures the number of failed answers and of attempts that ended without an answer
 * @param startTimes the latencies until answers began
 * @param censoredTimes the waiting times of attempts whose answer has not begun, both ended and pending ones; they are
 *     right-censored observations of the latency
 */
public record VersionCounts(long answers, long failures, LatencyHistogram startTimes, LatencyHistogram censoredTimes) {
    private static final VersionCounts NONE =
            new VersionCounts(0, 0, LatencyHistogram.empty(), LatencyHistogram.empty());

    /** Returns empty counts. */
    public static VersionCounts none() {
        return NONE;
    }

    /** Returns a copy with one more successful answer. */
    public VersionCounts withAnswer() {
        return new VersionCounts(answers + 1, failures, startTimes, censoredTimes);
    }

    /** Returns a copy with one more failure. */
    public VersionCounts withFailure() {
        return new VersionCounts(answers, failures + 1, startTimes, censoredTimes);
    }

    /** Returns a copy with one more answer that began after the given time. */
    public VersionCounts withStartTime(double millis) {
        return new VersionCounts(answers, failures, startTimes.with(millis), censoredTimes);
    }

    /** Returns a copy with one more attempt whose answer has not begun within the given time. */
    public VersionCounts withCensoredTime(double millis) {
        return new VersionCounts(answers, failures, startTimes, censoredTimes.with(millis));
    }

    /** Returns the sum of both counts. */
    public VersionCounts plus(VersionCounts other) {
        return new VersionCounts(
                answers + other.answers,
                failures + other.failures,
                startTimes.plus(other.startTimes),
                censoredTimes.plus(other.censoredTimes));
    }

    /** Returns the outcomes added since an earlier state of these counts. */
    public VersionCounts minus(VersionCounts earlier) {
        return new VersionCounts(
                Math.max(0, answers - earlier.answers),
                Math.max(0, failures - earlier.failures),
                startTimes.minus(earlier.startTimes),
                censoredTimes.minus(earlier.censoredTimes));
    }

    /** Returns the number of successful answers and failures. */
    public long total() {
        return answers + failures;
    }

    /** Returns the fraction of failures, or 0 if nothing was counted. */
    public double failureRate() {
        return total() == 0 ? 0 : (double) failures / total();
    }
}
