package org.baobabcart.policy.departure;

/**
 * The mean time to the first byte of a router's recent attempts at one data centre. Immutable.
 *
 * <p>Samples lose half of their weight in each half-life, so that without news the mean approaches what is usual.
 *
 * @param weight the total weight of the samples at the last update
 * @param sum the weighted sum of the samples in nanoseconds
 * @param updatedNanos the time of the last update
 */
record ObservedLatency(double weight, double sum, long updatedNanos) {
    /** A third of a disturbance of ten seconds, so that the mean follows it and a router with few requests has some samples. */
    private static final double HALF_LIFE_NANOS = 3e9;
    /** Weight of the usual latency, in samples; a single slow or failed attempt is no sign of trouble. */
    private static final double USUAL_WEIGHT = 4;

    static ObservedLatency none(long nowNanos) {
        return new ObservedLatency(0, 0, nowNanos);
    }

    ObservedLatency with(double nanos, long nowNanos) {
        double decay = decay(nowNanos);
        return new ObservedLatency(weight * decay + 1, sum * decay + nanos, nowNanos);
    }

    /** Returns the mean, given the latency that is usual there. */
    double expectedNanos(double usualNanos, long nowNanos) {
        double decay = decay(nowNanos);
        return (sum * decay + usualNanos * USUAL_WEIGHT) / (weight * decay + USUAL_WEIGHT);
    }

    private double decay(long nowNanos) {
        return Math.pow(2, -(nowNanos - updatedNanos) / HALF_LIFE_NANOS);
    }
}
