package org.baobabcart.policy.cascade;

import java.util.HashMap;
import java.util.Map;

/**
 * Tracks, by route, the ratio of the time to the first byte of answers of the largest models to its target. Not
 * thread-safe.
 *
 * <p>The ratio is an exponentially weighted mean that decays without samples, so that a route whose largest models get
 * no requests because they are slow is tried again.
 */
public final class LatencyPressure {
    private static final double SAMPLE_WEIGHT = 0.2;
    /** The time of a few answers: long enough to bridge the gaps between them, and short compared to a burst. */
    private static final double HALF_LIFE_NANOS = 3e9;

    private final Map<String, Sample> samples = new HashMap<>();

    private record Sample(double ratio, long atNanos) {}

    private LatencyPressure() {}

    /** Creates an instance without samples. */
    public static LatencyPressure create() {
        return new LatencyPressure();
    }

    /**
     * Records the first byte of an answer.
     *
     * @param ratio the time to the first byte divided by its target
     */
    public void observe(String route, double ratio, long nowNanos) {
        double previous = of(route, nowNanos);
        samples.put(route, new Sample(previous + SAMPLE_WEIGHT * (ratio - previous), nowNanos));
    }

    /** Returns the pressure on a route, which is below 1 if its answers start in time and zero without samples. */
    public double of(String route, long nowNanos) {
        Sample sample = samples.get(route);
        if (sample == null) {
            return 0;
        }
        return sample.ratio() * Math.pow(2, -(nowNanos - sample.atNanos()) / HALF_LIFE_NANOS);
    }
}
