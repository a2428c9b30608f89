package org.baobabcart.router.gateway;

import java.util.Random;

/**
 * How a version answers in driven time. Immutable.
 *
 * @param slowPart the part of its answers that begin late
 * @param factor how many times later those begin
 */
record SimulatedVersion(double slowPart, double factor) {
    private static final double MEDIAN_MILLIS = 80;
    /** The standard deviation of the logarithm of a time. */
    private static final double SPREAD = 0.7;

    static SimulatedVersion usual() {
        return new SimulatedVersion(0, 1);
    }

    static SimulatedVersion partlySlow(double slowPart, double factor) {
        return new SimulatedVersion(slowPart, factor);
    }

    /** The time to the beginning of an answer. */
    double millis(Random random) {
        double usual = MEDIAN_MILLIS * Math.exp(random.nextGaussian() * SPREAD);
        return random.nextDouble() < slowPart ? usual * factor : usual;
    }
}
