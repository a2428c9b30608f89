package org.baobabcart.policy.version;

/**
 * Outcomes of one version on one route. Immutable.
 *
 * @param answers answers without a fault
 * @param failures answers with a fault, and attempts that ended without one
 * @param paceSum the sum of the answers' times, each divided by the size of its work
 */
public record VersionCounts(long answers, long failures, double paceSum) {
    private static final VersionCounts NONE = new VersionCounts(0, 0, 0);

    /** Nothing counted. */
    public static VersionCounts none() {
        return NONE;
    }

    /** The counts after one more answer. */
    public VersionCounts withAnswer(double pace) {
        return new VersionCounts(answers + 1, failures, paceSum + pace);
    }

    /** The counts after one more failure. */
    public VersionCounts withFailure() {
        return new VersionCounts(answers, failures + 1, paceSum);
    }

    /** The sum of both. */
    public VersionCounts plus(VersionCounts other) {
        return new VersionCounts(answers + other.answers, failures + other.failures, paceSum + other.paceSum);
    }

    /** All that was counted. */
    public long total() {
        return answers + failures;
    }

    /** The part of failures in all that was counted. */
    public double failureRate() {
        return total() == 0 ? 0 : (double) failures / total();
    }

    /** The mean time of an answer for each unit of work; zero before the first. */
    public double pace() {
        return answers == 0 ? 0 : paceSum / answers;
    }
}
