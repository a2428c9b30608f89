package org.baobabcart.router.gateway;

import java.util.Random;

/**
 * How a version answers in driven time. Immutable.
 *
 * @param slowPart the part of its answers that begin late
 * @param factor how many times later those begin
 * @param spread the standard deviation of the logarithm of a time
 */
record SimulatedVersion(double slowPart, double factor, double spread) {
    private static final double MEDIAN_MILLIS = 80;
    private static final double SPREAD = 0.7;

    static SimulatedVersion usual() {
        return new SimulatedVersion(0, 1, SPREAD);
    }

    static SimulatedVersion partlySlow(double slowPart, double factor) {
        return new SimulatedVersion(slowPart, factor, SPREAD);
    }

    SimulatedVersion withSpread(double newSpread) {
        return new SimulatedVersion(slowPart, factor, newSpread);
    }

    /** The time to the beginning of an answer. */
    double millis(Random random) {
        double usual = MEDIAN_MILLIS * Math.exp(random.nextGaussian() * spread);
        return random.nextDouble() < slowPart ? usual * factor : usual;
    }
}
