package org.baobabcart.router.traffic;

import java.util.Optional;
import java.util.OptionalDouble;
import java.util.concurrent.atomic.AtomicInteger;
import org.baobabcart.model.rollout.RollOutStatus;
import org.baobabcart.policy.rollout.VersionOutcome;
import org.baobabcart.router.view.TrafficView;

/**
 * Reports the outcomes of model versions to the control thread. Responses of models with a running roll-out are rated
 * after delivery, as far as the rating service keeps up; all others are counted without a rating. Thread-safe.
 */
final class VersionOutcomeReporter {
    private static final int MAX_CONCURRENT_RATINGS = 32;

    private final TrafficDependencies dependencies;
    private final AtomicInteger pendingRatings = new AtomicInteger();

    private VersionOutcomeReporter(TrafficDependencies dependencies) {
        this.dependencies = dependencies;
    }

    static VersionOutcomeReporter create(TrafficDependencies dependencies) {
        return new VersionOutcomeReporter(dependencies);
    }

    /** Counts a response, and has it rated first if its model has a running roll-out. */
    void responseCompleted(RatingRequest response, double latencyLoss) {
        VersionOutcome outcome = VersionOutcome.answered(latencyLoss);
        if (!isUnderRollOut(response.model()) || pendingRatings.get() >= MAX_CONCURRENT_RATINGS) {
            count(response, outcome);
            return;
        }
        pendingRatings.incrementAndGet();
        dependencies
                .ratings()
                .rate(response)
                .onTermination()
                .invoke(pendingRatings::decrementAndGet)
                .subscribe()
                .with(rated -> count(response, outcome.withRating(rated)), failure -> count(response, outcome));
    }

    /** Counts a response that has been rated already. */
    void responseRated(SelectedVersion version, OptionalDouble quality, double latencyLoss) {
        dependencies
                .feedback()
                .outcome(
                        version.model(),
                        version.version(),
                        VersionOutcome.answered(latencyLoss).withRating(quality));
    }

    /** Counts an attempt that failed at an upstream. */
    void attemptFailed(String model, String version) {
        dependencies.feedback().outcome(model, version, VersionOutcome.failed());
    }

    private void count(RatingRequest response, VersionOutcome outcome) {
        dependencies.feedback().outcome(response.model(), response.version(), outcome);
    }

    private boolean isUnderRollOut(String model) {
        TrafficView view = dependencies.views().current();
        Optional<RollOutStatus> status = view.rollOuts().of(model).map(progress -> progress.status());
        return status.filter(current -> current == RollOutStatus.RUNNING).isPresent();
    }
}
