package org.baobabcart.policy.upstream;

/**
 * Limits the concurrent requests of one router to one upstream, adapting to the upstream's feedback. Immutable.
 *
 * <p>If the upstream reports its load, the limit is at most the number of its slots. The limit grows by one with each
 * response until the upstream is congested for the first time (slow start, Jacobson, "Congestion avoidance and control",
 * 1988). From then on it grows by one per round without congestion and is multiplied by a factor on congestion:
 * additive increase and multiplicative decrease, by which routers that share an upstream converge to equal shares
 * (Chiu and Jain, 1989). If the upstream reports no load, the limit follows the ratio of the long-term to the current
 * latency, like the gradient limit of Netflix's concurrency-limits.
 *
 * <p>Requests beyond the slots would queue at the upstream, which doesn't order them by rank and weight.
 *
 * @param limit the current limit; its integer part applies
 * @param longLatencyNanos the long-term latency, zero before the first sample
 * @param samplesSinceDecrease the number of responses since the last decrease, so that one congestion causes only one
 *     decrease
 * @param inSlowStart whether the upstream has not been congested yet
 */
public record ConcurrencyLimit(double limit, double longLatencyNanos, int samplesSinceDecrease, boolean inSlowStart) {
    private static final double MINIMUM = 1;
    private static final double MAXIMUM = 1024;
    private static final double INITIAL = 4;
    private static final double INITIAL_WITHOUT_REPORTS = 16;
    private static final double DECREASE_FACTOR = 0.85;
    private static final double MINIMUM_DECREASE_FACTOR = 0.5;
    private static final double MINIMUM_GRADIENT = 0.5;
    private static final double LATENCY_TOLERANCE = 2;
    private static final double GRADIENT_HEADROOM = 2;
    private static final double SMOOTHING = 0.2;
    private static final double LONG_TERM_WEIGHT = 0.01;

    /** Returns the initial limit for an upstream that reports its load. */
    public static ConcurrencyLimit initial() {
        return new ConcurrencyLimit(INITIAL, 0, 0, true);
    }

    /**
     * Returns the initial limit for an upstream that reports no load; higher, since growth takes many responses there.
     */
    public static ConcurrencyLimit initialWithoutReports() {
        return new ConcurrencyLimit(INITIAL_WITHOUT_REPORTS, 0, 0, false);
    }

    /** Returns the maximum number of concurrent requests. */
    public int maximumInFlight() {
        return (int) limit;
    }

    /** Returns the limit after a response with a load report. */
    public ConcurrencyLimit withReport(LoadReport report, int inFlight) {
        if (report.isCongested()) {
            double fittingFactor = (double) report.slots() / report.total();
            return decreased(Math.max(MINIMUM_DECREASE_FACTOR, Math.min(DECREASE_FACTOR, fittingFactor)));
        }
        double step = inSlowStart ? 1 : 1 / limit;
        double increased = isUtilized(inFlight) ? limit + step : limit;
        return with(Math.min(report.slots(), increased), longLatencyNanos, samplesSinceDecrease + 1, inSlowStart);
    }

    /** Returns the limit after a response without a load report. */
    public ConcurrencyLimit withLatency(long latencyNanos, int inFlight) {
        double sample = Math.max(1, latencyNanos);
        double longTerm =
                longLatencyNanos == 0 ? sample : longLatencyNanos * (1 - LONG_TERM_WEIGHT) + sample * LONG_TERM_WEIGHT;
        if (!isUtilized(inFlight)) {
            return with(limit, longTerm, samplesSinceDecrease + 1, inSlowStart);
        }
        double gradient = Math.max(MINIMUM_GRADIENT, Math.min(1, LATENCY_TOLERANCE * longTerm / sample));
        double target = limit * gradient + GRADIENT_HEADROOM;
        double smoothed = limit * (1 - SMOOTHING) + target * SMOOTHING;
        return with(smoothed, longTerm, samplesSinceDecrease + 1, inSlowStart);
    }

    /** Returns the limit after an attempt that failed or made no progress. */
    public ConcurrencyLimit withFailure() {
        return decreased(DECREASE_FACTOR);
    }

    private ConcurrencyLimit decreased(double factor) {
        if (!inSlowStart && samplesSinceDecrease < limit) {
            return with(limit, longLatencyNanos, samplesSinceDecrease + 1, false);
        }
        return with(limit * factor, longLatencyNanos, 0, false);
    }

    private boolean isUtilized(int inFlight) {
        return inFlight * 2 >= limit;
    }

    private static ConcurrencyLimit with(double limit, double longLatency, int samples, boolean inSlowStart) {
        double bounded = Math.max(MINIMUM, Math.min(MAXIMUM, limit));
        return new ConcurrencyLimit(bounded, longLatency, samples, inSlowStart);
    }
}
