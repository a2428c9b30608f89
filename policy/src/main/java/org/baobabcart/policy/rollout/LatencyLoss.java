package org.baobabcart.policy.rollout;

import java.time.Duration;

/**
 * What an answer loses by its time, from 0 (at once) to 1 (never): the time over the sum of the time and the objective.
 *
 * <p>The objective of an answer is its rank's target for the first token and the objective between tokens for each token,
 * so that long answers are not taken for slow ones. An answer that takes just its objective loses one half. Stateless.
 */
public final class LatencyLoss {
    private static final Duration BETWEEN_TOKENS = Duration.ofMillis(54);

    private LatencyLoss() {}

    /**
     * The loss of one answer.
     *
     * @param elapsed from sending the request to an upstream until its whole answer was here
     * @param firstToken the rank's target
     * @param tokens the tokens of the answer
     */
    public static double of(Duration elapsed, Duration firstToken, long tokens) {
        double objective = firstToken.plus(BETWEEN_TOKENS.multipliedBy(tokens)).toNanos();
        double nanos = Math.max(0, elapsed.toNanos());
        return nanos + objective <= 0 ? 0 : nanos / (nanos + objective);
    }
}
