package org.baobabcart.load;

import java.util.Map;

/**
 * Results of all requests or of those with the same rank, workspace or target. Immutable.
 *
 * @param planned the number of planned requests
 * @param tries the number of requests sent, including retries
 * @param outcomes the number of requests by outcome
 * @param codes the number of requests that were not complete, by error name
 * @param firstToken the time from the planned start to the first token of complete requests
 * @param total the time from the planned start to the end of complete requests
 * @param betweenTokens the time between successive tokens of a stream
 */
public record GroupReport(
        long planned,
        long tries,
        Map<Outcome, Long> outcomes,
        Map<String, Long> codes,
        LatencySummary firstToken,
        LatencySummary total,
        LatencySummary betweenTokens) {
    /** Copies the maps. */
    public GroupReport {
        outcomes = Map.copyOf(outcomes);
        codes = Map.copyOf(codes);
    }

    /** Returns the number of requests with the given outcome. */
    public long count(Outcome outcome) {
        return outcomes.getOrDefault(outcome, 0L);
    }

    /** Returns the fraction of planned requests that received a complete response. */
    public double success() {
        return planned == 0 ? 0 : (double) count(Outcome.COMPLETE) / planned;
    }
}
