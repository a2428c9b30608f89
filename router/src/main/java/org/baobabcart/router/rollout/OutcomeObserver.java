package org.baobabcart.router.rollout;

import java.util.Optional;
import java.util.OptionalDouble;
import org.baobabcart.model.rollout.RollOutProgress;
import org.baobabcart.model.rollout.RollOutStatus;
import org.baobabcart.model.sheet.PublishedSheet;
import org.baobabcart.model.sheet.RollOut;
import org.baobabcart.router.traffic.RatingClient;
import org.baobabcart.router.traffic.RatingRequest;
import org.baobabcart.router.view.TrafficFeedback;
import org.baobabcart.router.view.TrafficView;
import org.baobabcart.router.view.TrafficViewSource;

/**
 * Gives the control thread evidence of roll-outs from traffic. Thread-safe and never blocking.
 *
 * <p>Answers of the two versions of a roll-out are rated after they were passed on, so that no caller waits for it. Other
 * versions are not reported.
 */
public final class OutcomeObserver {
    private final TrafficViewSource views;
    private final RatingClient ratings;
    private final TrafficFeedback feedback;

    private OutcomeObserver(TrafficViewSource views, RatingClient ratings, TrafficFeedback feedback) {
        this.views = views;
        this.ratings = ratings;
        this.feedback = feedback;
    }

    /** An observer of this process's traffic. */
    public static OutcomeObserver create(TrafficViewSource views, RatingClient ratings, TrafficFeedback feedback) {
        return new OutcomeObserver(views, ratings, feedback);
    }

    /** An answer was passed on whole and was not rated yet. */
    public void passedOn(RatingRequest answer) {
        if (isObserved(answer.model(), answer.version())) {
            ratings.rate(answer)
                    .subscribe()
                    .with(
                            rating -> feedback.outcome(answer.model(), answer.version(), true, rating),
                            failure ->
                                    feedback.outcome(answer.model(), answer.version(), true, OptionalDouble.empty()));
        }
    }

    /** A version failed a request that it had received. */
    public void failed(String model, String version) {
        if (isObserved(model, version)) {
            feedback.outcome(model, version, false, OptionalDouble.empty());
        }
    }

    private boolean isObserved(String model, String version) {
        TrafficView view = views.current();
        Optional<RollOut> rollOut = view.sheet().map(PublishedSheet::sheet).flatMap(sheet -> sheet.rollOut(model));
        return rollOut.filter(declared ->
                        declared.from().equals(version) || declared.to().equals(version))
                .flatMap(declared -> view.rollOuts().of(model))
                .map(RollOutProgress::status)
                .filter(status -> status == RollOutStatus.RUNNING || status == RollOutStatus.PAUSED)
                .isPresent();
    }
}
