package org.baobabcart.policy.version;

/**
 * Outcomes of one version on one kind of work. Immutable.
 *
 * @param answers answers without a fault
 * @param failures answers with a fault, and attempts that ended without one
 * @param startTimes the times after which answers began
 * @param censoredTimes the times for which attempts have waited in vain for an answer to begin: those that have ended so, and those that still wait
 */
public record VersionCounts(long answers, long failures, LatencyHistogram startTimes, LatencyHistogram censoredTimes) {
    private static final VersionCounts NONE =
            new VersionCounts(0, 0, LatencyHistogram.empty(), LatencyHistogram.empty());

    /** Nothing counted. */
    public static VersionCounts none() {
        return NONE;
    }

    /** The counts after one more answer. */
    public VersionCounts withAnswer() {
        return new VersionCounts(answers + 1, failures, startTimes, censoredTimes);
    }

    /** The counts after one more failure. */
    public VersionCounts withFailure() {
        return new VersionCounts(answers, failures + 1, startTimes, censoredTimes);
    }

    /** The counts after one more answer has startTimes. */
    public VersionCounts withStartTime(double millis) {
        return new VersionCounts(answers, failures, startTimes.with(millis), censoredTimes);
    }

    /** The counts with one more attempt that has waited in vain so far. */
    public VersionCounts withCensoredTime(double millis) {
        return new VersionCounts(answers, failures, startTimes, censoredTimes.with(millis));
    }

    /** The sum of both. */
    public VersionCounts plus(VersionCounts other) {
        return new VersionCounts(
                answers + other.answers,
                failures + other.failures,
                startTimes.plus(other.startTimes),
                censoredTimes.plus(other.censoredTimes));
    }

    /** What was counted after an earlier state of these counts. */
    public VersionCounts minus(VersionCounts earlier) {
        return new VersionCounts(
                Math.max(0, answers - earlier.answers),
                Math.max(0, failures - earlier.failures),
                startTimes.minus(earlier.startTimes),
                censoredTimes.minus(earlier.censoredTimes));
    }

    /** All answers and failures. */
    public long total() {
        return answers + failures;
    }

    /** The part of failures in all that was counted. */
    public double failureRate() {
        return total() == 0 ? 0 : (double) failures / total();
    }
}
