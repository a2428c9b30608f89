package org.baobabcart.policy.admission;

import java.time.Duration;

/**
 * How long a piece of work runs, learnt for each size: mean and mean deviation as the estimator of round-trip times does (Jacobson,
 * "Congestion avoidance and control", 1988; RFC 6298). Sizes count by their power of two. Not thread-safe.
 */
public final class ServiceTimeEstimator {
    private static final int SIZES = Integer.SIZE;
    private static final double MEAN_WEIGHT = 1.0 / 8;
    private static final double DEVIATION_WEIGHT = 1.0 / 4;
    private static final double DEVIATIONS = 2;

    private final double[] means = new double[SIZES];
    private final double[] deviations = new double[SIZES];

    private ServiceTimeEstimator() {}

    /** An estimator that knows nothing. */
    public static ServiceTimeEstimator create() {
        return new ServiceTimeEstimator();
    }

    /**
     * Work has run to its end.
     *
     * @param size its size, such as the most tokens of its answer; zero or more
     */
    public void observe(int size, long nanos) {
        int index = index(size);
        if (means[index] == 0) {
            means[index] = Math.max(1, nanos);
            deviations[index] = nanos / 2.0;
            return;
        }
        double error = nanos - means[index];
        deviations[index] += DEVIATION_WEIGHT * (Math.abs(error) - deviations[index]);
        means[index] += MEAN_WEIGHT * error;
    }

    /** The time that nearly all work of this size needs; zero before any has run to its end. */
    public Duration expected(int size) {
        int index = index(size);
        return Duration.ofNanos((long) (means[index] + DEVIATIONS * deviations[index]));
    }

    private static int index(int size) {
        return SIZES - 1 - Integer.numberOfLeadingZeros(Math.max(1, size));
    }
}
