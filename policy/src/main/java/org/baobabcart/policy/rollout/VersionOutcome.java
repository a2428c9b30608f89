package org.baobabcart.policy.rollout;

import java.util.OptionalDouble;

/**
 * The outcome of one request on a version. Immutable.
 *
 * @param success whether the version gave a complete answer
 * @param rating the rating of the answer from 0 to 1, or empty if it was not rated
 * @param latencyLoss the latency loss of the answer as computed by {@link LatencyLoss}, or empty if there is no answer
 */
public record VersionOutcome(boolean success, OptionalDouble rating, OptionalDouble latencyLoss) {
    private static final VersionOutcome FAILED =
            new VersionOutcome(false, OptionalDouble.empty(), OptionalDouble.empty());

    /** Returns the outcome of a failed request. */
    public static VersionOutcome failed() {
        return FAILED;
    }

    /** Returns the outcome of a complete answer without a rating. */
    public static VersionOutcome answered(double latencyLoss) {
        return new VersionOutcome(true, OptionalDouble.empty(), OptionalDouble.of(latencyLoss));
    }

    /** Returns a copy with the given rating. */
    public VersionOutcome withRating(OptionalDouble newRating) {
        return new VersionOutcome(success, newRating, latencyLoss);
    }
}
