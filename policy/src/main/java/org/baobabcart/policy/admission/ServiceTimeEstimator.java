package org.baobabcart.policy.admission;

import java.time.Duration;

/**
 * Estimates how long work of a given size runs.
 *
 * <p>Keeps a smoothed mean and mean deviation, like the estimator of round-trip times in TCP (Jacobson, "Congestion
 * avoidance and control", 1988; RFC 6298), for each power of two of the size. Not thread-safe.
 */
public final class ServiceTimeEstimator {
    private static final int SIZE_CLASSES = Integer.SIZE;
    private static final double MEAN_WEIGHT = 1.0 / 8;
    private static final double DEVIATION_WEIGHT = 1.0 / 4;
    private static final double DEVIATIONS = 2;

    private final double[] means = new double[SIZE_CLASSES];
    private final double[] deviations = new double[SIZE_CLASSES];

    private ServiceTimeEstimator() {}

    /** Creates an estimator without samples. */
    public static ServiceTimeEstimator create() {
        return new ServiceTimeEstimator();
    }

    /**
     * Records the run time of completed work.
     *
     * @param size the size of the work, such as the token limit of its answer; zero or more
     */
    public void observe(int size, long nanos) {
        int sizeClass = sizeClass(size);
        if (means[sizeClass] == 0) {
            means[sizeClass] = Math.max(1, nanos);
            deviations[sizeClass] = nanos / 2.0;
            return;
        }
        double error = nanos - means[sizeClass];
        deviations[sizeClass] += DEVIATION_WEIGHT * (Math.abs(error) - deviations[sizeClass]);
        means[sizeClass] += MEAN_WEIGHT * error;
    }

    /** Returns the time within which nearly all work of this size completes, or zero if none has completed yet. */
    public Duration expected(int size) {
        int sizeClass = sizeClass(size);
        return Duration.ofNanos((long) (means[sizeClass] + DEVIATIONS * deviations[sizeClass]));
    }

    private static int sizeClass(int size) {
        return SIZE_CLASSES - 1 - Integer.numberOfLeadingZeros(Math.max(1, size));
    }
}
