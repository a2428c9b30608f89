package org.baobabcart.policy.rollout;

/** What a version can lose by. */
enum LossKind {
    /** Requests that failed. */
    FAILURES("failures", 0.45) {
        @Override
        LossSample sample(VersionTotals totals) {
            return totals.failureSample();
        }

        @Override
        double margin(RollOutSettings settings) {
            return settings.failureMargin();
        }

        @Override
        double assumed(RollOutSettings settings) {
            return settings.assumedFailures();
        }
    },
    /** What ratings lack to the best one. */
    RATINGS("rating loss", 0.45) {
        @Override
        LossSample sample(VersionTotals totals) {
            return totals.ratingSample();
        }

        @Override
        double margin(RollOutSettings settings) {
            return settings.ratingMargin();
        }

        @Override
        double assumed(RollOutSettings settings) {
            return settings.assumedRatingLoss();
        }
    },
    /** What answers lose by their time. */
    LATENCY("latency loss", 0.1) {
        @Override
        LossSample sample(VersionTotals totals) {
            return totals.latencySample();
        }

        @Override
        double margin(RollOutSettings settings) {
            return settings.latencyMargin();
        }

        @Override
        double assumed(RollOutSettings settings) {
            return settings.assumedLatencyLoss();
        }
    };

    private final String label;
    private final double falseStopShare;

    LossKind(String label, double falseStopShare) {
        this.label = label;
        this.falseStopShare = falseStopShare;
    }

    /** The part of the bound on false stops that this kind may use; the parts add up to one. */
    double falseStopShare() {
        return falseStopShare;
    }

    abstract LossSample sample(VersionTotals totals);

    /** How much greater the mean loss may be than the old version's. */
    abstract double margin(RollOutSettings settings);

    /** The mean loss that is expectedLoss where there is no old version to compare with. */
    abstract double assumed(RollOutSettings settings);

    /** The name in reasons given to operators. */
    String label() {
        return label;
    }
}
