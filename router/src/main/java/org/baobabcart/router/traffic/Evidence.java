package org.baobabcart.router.traffic;

import java.util.Optional;
import java.util.OptionalDouble;
import java.util.concurrent.atomic.AtomicInteger;
import org.baobabcart.model.rollout.RollOutStatus;
import org.baobabcart.policy.rollout.VersionOutcome;
import org.baobabcart.router.view.TrafficView;

/**
 * Tells the control thread how versions do. Answers of models under a running roll-out are rated after they were passed
 * on, as far as the rating service keeps up; the others count without a rating. Thread-safe.
 */
final class Evidence {
    private static final int RATINGS_AT_ONCE = 32;

    private final TrafficParts parts;
    private final AtomicInteger rating = new AtomicInteger();

    private Evidence(TrafficParts parts) {
        this.parts = parts;
    }

    static Evidence create(TrafficParts parts) {
        return new Evidence(parts);
    }

    /** Counts a finished answer, and has it rated where a roll-out needs that. */
    void answered(RatingRequest answer, double latencyLoss) {
        VersionOutcome outcome = VersionOutcome.answered(latencyLoss);
        if (!isUnderRollOut(answer.model()) || rating.get() >= RATINGS_AT_ONCE) {
            count(answer, outcome);
            return;
        }
        rating.incrementAndGet();
        parts.ratings()
                .rate(answer)
                .onTermination()
                .invoke(rating::decrementAndGet)
                .subscribe()
                .with(rated -> count(answer, outcome.withRating(rated)), failure -> count(answer, outcome));
    }

    /** Counts an answer that was rated already. */
    void rated(SelectedVersion version, OptionalDouble quality, double latencyLoss) {
        parts.feedback()
                .outcome(
                        version.model(),
                        version.version(),
                        VersionOutcome.answered(latencyLoss).withRating(quality));
    }

    /** Counts an attempt that failed at an upstream. */
    void failed(String model, String version) {
        parts.feedback().outcome(model, version, VersionOutcome.failed());
    }

    private void count(RatingRequest answer, VersionOutcome outcome) {
        parts.feedback().outcome(answer.model(), answer.version(), outcome);
    }

    private boolean isUnderRollOut(String model) {
        TrafficView view = parts.views().current();
        Optional<RollOutStatus> status = view.rollOuts().of(model).map(progress -> progress.status());
        return status.filter(known -> known == RollOutStatus.RUNNING).isPresent();
    }
}
