package org.baobabcart.policy.cascade;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;

/**
 * Estimates the time to the first byte of an answer from the length of its prompt. Not thread-safe.
 *
 * <p>Prompt lengths of one route differ by a factor of a hundred, and a long prompt that a larger model has to process
 * again is answered late even while short ones are answered in time. The estimate is a line over the prompt length,
 * fitted by least squares with exponential forgetting over all routes to a model, multiplied by the current load
 * factor of the route: the mean ratio of observed times to the line, which decays towards 1 without samples.
 */
public final class FirstByteEstimator {
    /** The weight of answers from which on the line is used: a few of each kind of request. */
    private static final double MINIMUM_WEIGHT = 12;
    /** The last 140 answers make up half of the weight, enough to average out the noise of partly cached prompts. */
    private static final double DECAY = 0.995;

    /** Samples further above the line are due to transient load and are capped at this multiple of it. */
    private static final double MAXIMUM_LINE_MULTIPLE = 2;

    private static final double LOAD_WEIGHT = 0.2;
    private static final double LATE_WEIGHT = 0.1;
    /** As short as the bursts that the load factor has to follow. */
    private static final double LOAD_HALF_LIFE_NANOS = 3e9;

    private final Map<String, Line> lines = new HashMap<>();
    private final Map<String, DecayingMean> loadFactors = new HashMap<>();
    private final Map<String, DecayingMean> lateShares = new HashMap<>();

    /** An exponentially weighted mean that decays towards the value of an idle model. */
    private record DecayingMean(double value, double idle, long atNanos) {
        private double at(long nowNanos) {
            return idle + (value - idle) * Math.pow(2, -(nowNanos - atNanos) / LOAD_HALF_LIFE_NANOS);
        }

        private DecayingMean with(double sample, double weight, long nowNanos) {
            double previous = at(nowNanos);
            return new DecayingMean(previous + weight * (sample - previous), idle, nowNanos);
        }
    }

    private FirstByteEstimator() {}

    /** Creates an estimator without samples. */
    public static FirstByteEstimator create() {
        return new FirstByteEstimator();
    }

    /**
     * Records the time to the first byte of an answer.
     *
     * @param nanos the time to the first byte
     * @param late whether the first byte missed the target of its route
     */
    public void observe(String model, String route, int promptTokens, double nanos, boolean late, long nowNanos) {
        lateShares.put(model, lateShare(model).with(late ? 1 : 0, LATE_WEIGHT, nowNanos));
        Line line = lines.computeIfAbsent(model, ignored -> new Line());
        if (!line.hasEnoughSamples()) {
            line.add(promptTokens, nanos);
            return;
        }
        double expected = Math.max(1, line.at(promptTokens));
        loadFactors.put(route, loadFactor(route).with(nanos / expected, LOAD_WEIGHT, nowNanos));
        line.add(promptTokens, Math.min(nanos, MAXIMUM_LINE_MULTIPLE * expected));
    }

    /** Returns the expected time to the first byte in nanoseconds, or zero while there are too few samples. */
    public double expectedNanos(String model, String route, int promptTokens, long nowNanos) {
        Line line = lines.get(model);
        return line == null || !line.hasEnoughSamples()
                ? 0
                : line.at(promptTokens) * loadFactor(route).at(nowNanos);
    }

    /**
     * Returns the time that the model takes to read a number of prompt tokens; empty while there are too few samples or they do
     * not tell.
     */
    public OptionalLong readNanos(String model, int tokens) {
        Line line = lines.get(model);
        return line == null || !line.hasEnoughSamples() || line.slope() == 0
                ? OptionalLong.empty()
                : OptionalLong.of((long) (line.slope() * tokens));
    }

    /**
     * Returns the delay that a prompt of this length adds to other requests at the model: the share of the model's
     * answers that start late, multiplied by the ratio of the prompt's length to the mean length.
     */
    public double crowding(String model, int promptTokens, long nowNanos) {
        Line line = lines.get(model);
        return line == null ? 0 : lateShare(model).at(nowNanos) * promptTokens / Math.max(1, line.meanLength());
    }

    private DecayingMean loadFactor(String route) {
        return loadFactors.getOrDefault(route, new DecayingMean(1, 1, 0));
    }

    private DecayingMean lateShare(String model) {
        return lateShares.getOrDefault(model, new DecayingMean(0, 0, 0));
    }

    /** A least-squares line with exponential forgetting. */
    private static final class Line {
        private double weight;
        private double sumX;
        private double sumY;
        private double sumXx;
        private double sumXy;

        private void add(double x, double y) {
            weight = weight * DECAY + 1;
            sumX = sumX * DECAY + x;
            sumY = sumY * DECAY + y;
            sumXx = sumXx * DECAY + x * x;
            sumXy = sumXy * DECAY + x * y;
        }

        private double meanLength() {
            return sumX / weight;
        }

        private boolean hasEnoughSamples() {
            return weight >= MINIMUM_WEIGHT;
        }

        /**
         * Returns the value at {@code x}; the slope and the intercept are clamped to zero or more, since times are
         * neither negative nor shorter for longer prompts.
         */
        private double at(double x) {
            double intercept = Math.max(0, sumY / weight - slope() * sumX / weight);
            return intercept + slope() * x;
        }

        private double slope() {
            double meanX = sumX / weight;
            double spread = sumXx / weight - meanX * meanX;
            return spread > 0 ? Math.max(0, (sumXy / weight - meanX * sumY / weight) / spread) : 0;
        }
    }
}
