package org.baobabcart.policy.version;

/**
 * Outcomes of one version on one kind of work. Immutable.
 *
 * @param answers answers without a fault
 * @param failures answers with a fault, and attempts that ended without one
 * @param begun the times after which answers began
 * @param unbegun the times for which attempts have waited in vain for an answer to begin: those that have ended so, and those that still wait
 */
public record VersionCounts(long answers, long failures, TimeHistogram begun, TimeHistogram unbegun) {
    private static final VersionCounts NONE = new VersionCounts(0, 0, TimeHistogram.empty(), TimeHistogram.empty());

    /** Nothing counted. */
    public static VersionCounts none() {
        return NONE;
    }

    /** The counts after one more answer. */
    public VersionCounts withAnswer() {
        return new VersionCounts(answers + 1, failures, begun, unbegun);
    }

    /** The counts after one more failure. */
    public VersionCounts withFailure() {
        return new VersionCounts(answers, failures + 1, begun, unbegun);
    }

    /** The counts after one more answer has begun. */
    public VersionCounts withBegun(double millis) {
        return new VersionCounts(answers, failures, begun.with(millis), unbegun);
    }

    /** The counts with one more attempt that has waited in vain so far. */
    public VersionCounts withUnbegun(double millis) {
        return new VersionCounts(answers, failures, begun, unbegun.with(millis));
    }

    /** The sum of both. */
    public VersionCounts plus(VersionCounts other) {
        return new VersionCounts(
                answers + other.answers,
                failures + other.failures,
                begun.plus(other.begun),
                unbegun.plus(other.unbegun));
    }

    /** What was counted after an earlier state of these counts. */
    public VersionCounts minus(VersionCounts earlier) {
        return new VersionCounts(
                Math.max(0, answers - earlier.answers),
                Math.max(0, failures - earlier.failures),
                begun.minus(earlier.begun),
                unbegun.minus(earlier.unbegun));
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
