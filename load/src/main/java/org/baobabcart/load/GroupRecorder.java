package org.baobabcart.load;

import java.util.EnumMap;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/** Records the request counts and latency histograms of one group. Thread-safe. */
final class GroupRecorder {
    private static final long MAX_LATENCY_NANOS = 600_000_000_000L;
    private static final int SIGNIFICANT_DIGITS = 3;

    private final Map<Outcome, Long> outcomes = new EnumMap<>(Outcome.class);
    private final Map<String, Long> codes = new TreeMap<>();
    private final Histogram firstToken = new Histogram(MAX_LATENCY_NANOS, SIGNIFICANT_DIGITS);
    private final Histogram total = new Histogram(MAX_LATENCY_NANOS, SIGNIFICANT_DIGITS);
    private final Histogram betweenTokens = new Histogram(MAX_LATENCY_NANOS, SIGNIFICANT_DIGITS);
    private long planned;
    private long tries;

    synchronized void recordPlanned() {
        planned++;
    }

    synchronized void recordAttempt() {
        tries++;
    }

    synchronized void recordTokenInterval(long nanos) {
        betweenTokens.recordValue(clamp(nanos));
    }

    synchronized void recordComplete(long firstTokenNanos, long totalNanos) {
        outcomes.merge(Outcome.COMPLETE, 1L, Long::sum);
        firstToken.recordValue(clamp(firstTokenNanos));
        total.recordValue(clamp(totalNanos));
    }

    synchronized void recordFailure(Outcome outcome, String code) {
        outcomes.merge(outcome, 1L, Long::sum);
        codes.merge(code, 1L, Long::sum);
    }

    synchronized GroupReport report() {
        return new GroupReport(
                planned,
                tries,
                outcomes,
                codes,
                LatencySummary.of(firstToken),
                LatencySummary.of(total),
                LatencySummary.of(betweenTokens));
    }

    private static long clamp(long nanos) {
        return Math.max(0, Math.min(nanos, MAX_LATENCY_NANOS));
    }
}
