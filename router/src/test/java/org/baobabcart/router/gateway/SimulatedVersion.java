package org.baobabcart.router.gateway;

import java.util.Random;

/**
 * Response times of a simulated version, log-normally distributed. Immutable.
 *
 * @param slowShare the share of slow responses
 * @param factor the factor by which the time of a slow response is longer
 * @param spread the standard deviation of the logarithm of a time
 */
record SimulatedVersion(double slowShare, double factor, double spread) {
    private static final double MEDIAN_MILLIS = 80;
    private static final double SPREAD = 0.7;

    static SimulatedVersion typical() {
        return new SimulatedVersion(0, 1, SPREAD);
    }

    static SimulatedVersion partlySlow(double slowShare, double factor) {
        return new SimulatedVersion(slowShare, factor, SPREAD);
    }

    SimulatedVersion withSpread(double newSpread) {
        return new SimulatedVersion(slowShare, factor, newSpread);
    }

    /** Returns a random time to first byte in milliseconds. */
    double millis(Random random) {
        double typical = MEDIAN_MILLIS * Math.exp(random.nextGaussian() * spread);
        return random.nextDouble() < slowShare ? typical * factor : typical;
    }
}
