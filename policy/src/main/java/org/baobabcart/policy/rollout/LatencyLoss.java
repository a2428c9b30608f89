package org.baobabcart.policy.rollout;

import java.time.Duration;

/**
 * Computes the latency loss of an answer, from 0 (immediate) to 1 (never): {@code elapsed / (elapsed + objective)}.
 * Stateless.
 *
 * <p>The objective is the rank's target for the first token plus a fixed time for each token, so that long answers do
 * not count as slow. An answer that takes exactly its objective has a loss of one half.
 */
public final class LatencyLoss {
    private static final Duration BETWEEN_TOKENS = Duration.ofMillis(54);

    private LatencyLoss() {}

    /**
     * Returns the latency loss of one answer.
     *
     * @param elapsed the time from sending the request to an upstream until the complete answer was received
     * @param firstToken the rank's target for the first token
     * @param tokens the number of tokens in the answer
     */
    public static double of(Duration elapsed, Duration firstToken, long tokens) {
        double objective = firstToken.plus(BETWEEN_TOKENS.multipliedBy(tokens)).toNanos();
        double nanos = Math.max(0, elapsed.toNanos());
        return nanos + objective <= 0 ? 0 : nanos / (nanos + objective);
    }
}
