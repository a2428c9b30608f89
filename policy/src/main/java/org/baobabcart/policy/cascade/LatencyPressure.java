package org.baobabcart.policy.cascade;

import java.util.HashMap;
import java.util.Map;

/**
 * How long answers of the largest models take to begin, against the time in which they should, by route. Not thread-safe.
 *
 * <p>An exponentially weighted mean that fades while nothing is seen, so that a route whose large models get nothing while they are slow is
 * tried again.
 */
public final class LatencyPressure {
    private static final double WEIGHT = 0.2;
    /** A few answers' time: long enough to bridge the gaps between them, short against a burst. */
    private static final double HALF_LIFE_NANOS = 3e9;

    private final Map<String, Reading> readings = new HashMap<>();

    private record Reading(double ratio, long atNanos) {}

    private LatencyPressure() {}

    /** Pressure of which nothing is known. */
    public static LatencyPressure create() {
        return new LatencyPressure();
    }

    /**
     * An answer has begun.
     *
     * @param ratio the time to its beginning over the time in which it should begin
     */
    public void observe(String route, double ratio, long nowNanos) {
        double before = of(route, nowNanos);
        readings.put(route, new Reading(before + WEIGHT * (ratio - before), nowNanos));
    }

    /** The pressure on a route: below 1 where its answers begin in time. */
    public double of(String route, long nowNanos) {
        Reading reading = readings.get(route);
        if (reading == null) {
            return 0;
        }
        return reading.ratio() * Math.pow(2, -(nowNanos - reading.atNanos()) / HALF_LIFE_NANOS);
    }
}
