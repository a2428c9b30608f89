package org.baobabcart.policy.rollout;

/**
 * Settings of the roll-out judge. Immutable.
 *
 * @param falseStopProbability the upper bound on the probability that the roll-out of a version as good as the old one
 *     is ever stopped
 * @param failureMargin by how much the failure rate may exceed that of the old version, from 0 to 1
 * @param ratingMargin by how much the mean rating may be below that of the old version, from 0 to 1
 * @param latencyMargin by how much the mean latency loss may exceed that of the old version, from 0 to 1
 * @param assumedFailures the failure rate to assume if the old version gets no work
 * @param assumedRatingLoss the mean difference to the best rating to assume if the old version gets no work
 * @param assumedLatencyLoss the mean latency loss to assume if the old version gets no work
 * @param maxComparedShare the share of the new version above which the old one gets too little work for a comparison
 */
public record RollOutSettings(
        double falseStopProbability,
        double failureMargin,
        double ratingMargin,
        double latencyMargin,
        double assumedFailures,
        double assumedRatingLoss,
        double assumedLatencyLoss,
        double maxComparedShare) {
    private static final double FALSE_STOP_PROBABILITY = 0.005;
    private static final double FAILURE_MARGIN = 0.02;
    private static final double RATING_MARGIN = 0.05;
    private static final double LATENCY_MARGIN = 0.1;
    private static final double ASSUMED_FAILURES = 0.05;
    private static final double ASSUMED_RATING_LOSS = 0.4;
    private static final double ASSUMED_LATENCY_LOSS = 0.5;
    private static final double MAX_COMPARED_SHARE = 0.95;

    /** Returns the settings that the router uses. */
    public static RollOutSettings defaults() {
        return new RollOutSettings(
                FALSE_STOP_PROBABILITY,
                FAILURE_MARGIN,
                RATING_MARGIN,
                LATENCY_MARGIN,
                ASSUMED_FAILURES,
                ASSUMED_RATING_LOSS,
                ASSUMED_LATENCY_LOSS,
                MAX_COMPARED_SHARE);
    }
}
