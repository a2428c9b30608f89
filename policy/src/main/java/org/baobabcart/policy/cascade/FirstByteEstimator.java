package org.baobabcart.policy.cascade;

import java.util.HashMap;
import java.util.Map;

/**
 * How long the answer to a prompt of a given length takes to begin, as learnt from earlier answers. Not thread-safe.
 *
 * <p>The load that it answers: prompts of one route differ in length a hundredfold, and a long one that is read again by a larger model
 * begins late though short ones beside it are in time. The time is a line over the length, fitted by least squares with
 * exponential forgetting for all routes to a model, times the present load of the route: the mean of how much later than by the line
 * its last answers began, which fades while nothing is seen.
 */
public final class FirstByteEstimator {
    /** Answers from which on the line is believed: a few of each kind of request. */
    private static final double LEAST_ANSWERS = 12;
    /** Half of the line comes from the last 140 answers, long against the noise of prompts that are partly remembered. */
    private static final double KEPT = 0.995;

    /** What lies further above the line is load, which passes, and moves the line no further than this. */
    private static final double MOST_ABOVE_LINE = 2;

    private static final double LOAD_WEIGHT = 0.2;
    private static final double LATE_WEIGHT = 0.1;
    /** As short as the bursts that it follows. */
    private static final double LOAD_HALF_LIFE_NANOS = 3e9;

    private final Map<String, Line> lines = new HashMap<>();
    private final Map<String, Fading> loads = new HashMap<>();
    private final Map<String, Fading> lateShares = new HashMap<>();

    /** A mean of what was seen last, which fades towards the value of an idle model. */
    private record Fading(double value, double idle, long atNanos) {
        private double at(long nowNanos) {
            return idle + (value - idle) * Math.pow(2, -(nowNanos - atNanos) / LOAD_HALF_LIFE_NANOS);
        }

        private Fading with(double seen, double weight, long nowNanos) {
            double before = at(nowNanos);
            return new Fading(before + weight * (seen - before), idle, nowNanos);
        }
    }

    private FirstByteEstimator() {}

    /** A forecast of which nothing is known. */
    public static FirstByteEstimator create() {
        return new FirstByteEstimator();
    }

    /**
     * An answer of the model has begun so many nanoseconds after it was asked for.
     *
     * @param late whether that is later than its caller was promised
     */
    public void observe(String model, String route, int promptTokens, double nanos, boolean late, long nowNanos) {
        lateShares.put(model, lateShare(model).with(late ? 1 : 0, LATE_WEIGHT, nowNanos));
        Line line = lines.computeIfAbsent(model, ignored -> new Line());
        if (!line.isKnown()) {
            line.add(promptTokens, nanos);
            return;
        }
        double usual = Math.max(1, line.at(promptTokens));
        loads.put(route, load(route).with(nanos / usual, LOAD_WEIGHT, nowNanos));
        line.add(promptTokens, Math.min(nanos, MOST_ABOVE_LINE * usual));
    }

    /** The nanoseconds until an answer probably begins; zero while too few were seen. */
    public double expectedNanos(String model, String route, int promptTokens, long nowNanos) {
        Line line = lines.get(model);
        return line == null || !line.isKnown()
                ? 0
                : line.at(promptTokens) * load(route).at(nowNanos);
    }

    /**
     * How much a prompt of this length adds to the lateness of others at the model: the share of its answers that begin late, times
     * the prompt's length over the mean length.
     */
    public double crowding(String model, int promptTokens, long nowNanos) {
        Line line = lines.get(model);
        return line == null ? 0 : lateShare(model).at(nowNanos) * promptTokens / Math.max(1, line.meanLength());
    }

    private Fading load(String route) {
        return loads.getOrDefault(route, new Fading(1, 1, 0));
    }

    private Fading lateShare(String model) {
        return lateShares.getOrDefault(model, new Fading(0, 0, 0));
    }

    /** A line of least squares in which each value counts a little less than the one after it. */
    private static final class Line {
        private double weight;
        private double sumX;
        private double sumY;
        private double sumXx;
        private double sumXy;

        private void add(double x, double y) {
            weight = weight * KEPT + 1;
            sumX = sumX * KEPT + x;
            sumY = sumY * KEPT + y;
            sumXx = sumXx * KEPT + x * x;
            sumXy = sumXy * KEPT + x * y;
        }

        private double meanLength() {
            return sumX / weight;
        }

        private boolean isKnown() {
            return weight >= LEAST_ANSWERS;
        }

        /** Longer prompts never take less time, and no answer begins before it is asked for. */
        private double at(double x) {
            double meanX = sumX / weight;
            double meanY = sumY / weight;
            double spread = sumXx / weight - meanX * meanX;
            double slope = spread > 0 ? Math.max(0, (sumXy / weight - meanX * meanY) / spread) : 0;
            double begin = Math.max(0, meanY - slope * meanX);
            return begin + slope * x;
        }
    }
}
