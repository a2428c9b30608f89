package org.baobabcart.load;

import java.util.Map;

/**
 * Results of the requests that share a rank, a workspace, or all. Immutable.
 *
 * @param planned requests that were planned
 * @param tries requests that were sent, retries included
 * @param outcomes the number of requests for each outcome
 * @param codes the number of refusals and failures for each code's name
 * @param firstToken time from the planned start to the first token, of complete requests
 * @param total time from the planned start to the end, of complete requests
 * @param betweenTokens time between tokens of streams
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

    /** The number of requests with an outcome. */
    public long count(Outcome outcome) {
        return outcomes.getOrDefault(outcome, 0L);
    }

    /** The share of planned requests that were answered whole. */
    public double success() {
        return planned == 0 ? 0 : (double) count(Outcome.COMPLETE) / planned;
    }
}
