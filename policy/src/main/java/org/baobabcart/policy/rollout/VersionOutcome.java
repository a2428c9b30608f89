package org.baobabcart.policy.rollout;

import java.util.OptionalDouble;

/**
 * How a version did with one request. Immutable.
 *
 * @param success whether it gave a whole answer
 * @param rating the answer's rating from 0 to 1, if it was rated
 * @param latencyLoss the loss by the answer's time, as {@link LatencyLoss} gives it; empty where there is no answer
 */
public record VersionOutcome(boolean success, OptionalDouble rating, OptionalDouble latencyLoss) {
    private static final VersionOutcome FAILED =
            new VersionOutcome(false, OptionalDouble.empty(), OptionalDouble.empty());

    /** A request that failed. */
    public static VersionOutcome failed() {
        return FAILED;
    }

    /** A whole answer that was not rated. */
    public static VersionOutcome answered(double latencyLoss) {
        return new VersionOutcome(true, OptionalDouble.empty(), OptionalDouble.of(latencyLoss));
    }

    /** The same answer with what came of its rating. */
    public VersionOutcome withRating(OptionalDouble newRating) {
        return new VersionOutcome(success, newRating, latencyLoss);
    }
}
