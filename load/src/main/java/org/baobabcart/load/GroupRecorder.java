package org.baobabcart.load;

import java.util.EnumMap;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/** Counts and histograms of one group. Thread-safe. */
final class GroupRecorder {
    private static final long LONGEST_NANOS = 600_000_000_000L;
    private static final int DIGITS = 3;

    private final Map<Outcome, Long> outcomes = new EnumMap<>(Outcome.class);
    private final Map<String, Long> codes = new TreeMap<>();
    private final Histogram firstToken = new Histogram(LONGEST_NANOS, DIGITS);
    private final Histogram total = new Histogram(LONGEST_NANOS, DIGITS);
    private final Histogram betweenTokens = new Histogram(LONGEST_NANOS, DIGITS);
    private long planned;
    private long tries;

    synchronized void planned() {
        planned++;
    }

    synchronized void tried() {
        tries++;
    }

    synchronized void betweenTokens(long nanos) {
        betweenTokens.recordValue(bounded(nanos));
    }

    synchronized void complete(long firstTokenNanos, long totalNanos) {
        outcomes.merge(Outcome.COMPLETE, 1L, Long::sum);
        firstToken.recordValue(bounded(firstTokenNanos));
        total.recordValue(bounded(totalNanos));
    }

    synchronized void ended(Outcome outcome, String code) {
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

    private static long bounded(long nanos) {
        return Math.max(0, Math.min(nanos, LONGEST_NANOS));
    }
}
