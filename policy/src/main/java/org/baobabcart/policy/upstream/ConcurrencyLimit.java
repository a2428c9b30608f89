package org.baobabcart.policy.upstream;

/**
 * How many requests one router keeps at one upstream at once, learnt from what comes back. Immutable.
 *
 * <p>Where the upstream reports its load, the limit is at most its slots. It grows by one an answer until more is
 * there than its slots for the first time (slow start, Jacobson, "Congestion avoidance and control", 1988); then it
 * rises by one a round while that is not so and falls by a factor when it is: additive increase and multiplicative
 * decrease, by which routers that share an upstream converge to equal parts (Chiu and Jain, 1989). Where it reports
 * none, the limit follows the ratio of the long-term to the present latency, as the gradient limit of Netflix's
 * concurrency-limits does.
 *
 * <p>Work beyond the slots would wait at the upstream, where ranks and weights do not order it.
 *
 * @param limit the present limit; its whole part counts
 * @param longLatencyNanos the long-term latency, zero before the first sample
 * @param samplesSinceFall answers since the limit last fell, so that one congestion lets it fall once
 * @param probing whether the upstream was never congested
 */
public record ConcurrencyLimit(double limit, double longLatencyNanos, int samplesSinceFall, boolean probing) {
    private static final double SMALLEST = 1;
    private static final double LARGEST = 1024;
    private static final double INITIAL = 4;
    private static final double INITIAL_WITHOUT_REPORTS = 16;
    private static final double FALL = 0.85;
    private static final double STEEPEST_FALL = 0.5;
    private static final double LOWEST_GRADIENT = 0.5;
    private static final double LATENCY_TOLERANCE = 2;
    private static final double GROWTH = 2;
    private static final double SMOOTHING = 0.2;
    private static final double LONG_TERM_WEIGHT = 0.01;

    /** The limit before anything is known of an upstream that reports its load. */
    public static ConcurrencyLimit initial() {
        return new ConcurrencyLimit(INITIAL, 0, 0, true);
    }

    /** The limit before anything is known of an upstream that reports no load, where growth takes many answers. */
    public static ConcurrencyLimit initialWithoutReports() {
        return new ConcurrencyLimit(INITIAL_WITHOUT_REPORTS, 0, 0, false);
    }

    /** The number of requests that may be there at once. */
    public int whole() {
        return (int) limit;
    }

    /** The limit after an answer with a load report. */
    public ConcurrencyLimit withReport(LoadReport report, int inFlight) {
        if (report.isCongested()) {
            double fitting = (double) report.slots() / report.present();
            return fallen(Math.max(STEEPEST_FALL, Math.min(FALL, fitting)));
        }
        double step = probing ? 1 : 1 / limit;
        double raised = isUsed(inFlight) ? limit + step : limit;
        return with(Math.min(report.slots(), raised), longLatencyNanos, samplesSinceFall + 1, probing);
    }

    /** The limit after an answer without a load report. */
    public ConcurrencyLimit withLatency(long latencyNanos, int inFlight) {
        double sample = Math.max(1, latencyNanos);
        double longTerm =
                longLatencyNanos == 0 ? sample : longLatencyNanos * (1 - LONG_TERM_WEIGHT) + sample * LONG_TERM_WEIGHT;
        if (!isUsed(inFlight)) {
            return with(limit, longTerm, samplesSinceFall + 1, probing);
        }
        double gradient = Math.max(LOWEST_GRADIENT, Math.min(1, LATENCY_TOLERANCE * longTerm / sample));
        double target = limit * gradient + GROWTH;
        double smoothed = limit * (1 - SMOOTHING) + target * SMOOTHING;
        return with(smoothed, longTerm, samplesSinceFall + 1, probing);
    }

    /** The limit after an attempt that failed or made no progress. */
    public ConcurrencyLimit withFailure() {
        return fallen(FALL);
    }

    private ConcurrencyLimit fallen(double factor) {
        if (!probing && samplesSinceFall < limit) {
            return with(limit, longLatencyNanos, samplesSinceFall + 1, false);
        }
        return with(limit * factor, longLatencyNanos, 0, false);
    }

    private boolean isUsed(int inFlight) {
        return inFlight * 2 >= limit;
    }

    private static ConcurrencyLimit with(double limit, double longLatency, int samples, boolean probing) {
        double bounded = Math.max(SMALLEST, Math.min(LARGEST, limit));
        return new ConcurrencyLimit(bounded, longLatency, samples, probing);
    }
}
