package org.baobabcart.policy.rollout;

/** What a version can lose by. */
enum LossKind {
    /** Requests that failed. */
    FAILURES("failures") {
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
    RATINGS("rating loss") {
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
    };

    private final String text;

    LossKind(String text) {
        this.text = text;
    }

    abstract LossSample sample(VersionTotals totals);

    /** How much greater the mean loss may be than the old version's. */
    abstract double margin(RollOutSettings settings);

    /** The mean loss that is expected where there is no old version to compare with. */
    abstract double assumed(RollOutSettings settings);

    /** The name in reasons given to operators. */
    String text() {
        return text;
    }
}
