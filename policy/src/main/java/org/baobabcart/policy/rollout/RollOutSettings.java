package org.baobabcart.policy.rollout;

/**
 * Settings of the judgement of roll-outs. Immutable.
 *
 * @param falseStopProbability the bound on the chance that a roll-out of a version as good as the old one is ever stopped
 * @param failureMargin how much greater the share of failures may be than the old version's, from 0 to 1
 * @param ratingMargin how much lower the mean rating may be than the old version's, from 0 to 1
 * @param latencyMargin how much greater the mean loss by time may be than the old version's, from 0 to 1
 * @param assumedFailures the share of failures that is expected where the old version gets no work
 * @param assumedRatingLoss what mean ratings are expected to lack where the old version gets no work
 * @param assumedLatencyLoss the loss by time that is expected where the old version gets no work
 * @param maxComparedShare the share of the new version above which the old one gets too little work to compare
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

    /** The settings that the router uses. */
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
