package org.baobabcart.policy.rollout;

/** The kinds of loss by which versions are compared. */
enum LossKind {
    /** Failed requests. */
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
    /** The difference between ratings and the best rating. */
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
    /** Latency losses of answers. */
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

    /** Returns the fraction of the false-stop probability allotted to this kind; the fractions add up to one. */
    double falseStopShare() {
        return falseStopShare;
    }

    abstract LossSample sample(VersionTotals totals);

    /** Returns by how much the mean loss may exceed that of the old version. */
    abstract double margin(RollOutSettings settings);

    /** Returns the mean loss to assume if there is no old version to compare with. */
    abstract double assumed(RollOutSettings settings);

    /** Returns the name used in reasons for operators. */
    String label() {
        return label;
    }
}
