package org.baobabcart.router.rollout;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;

import io.smallrye.mutiny.Uni;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import org.baobabcart.model.rollout.RollOutState;
import org.baobabcart.model.sheet.PublishedSheet;
import org.baobabcart.model.sheet.WhenControllerLost;
import org.baobabcart.policy.rollout.RollOutTransitions;
import org.baobabcart.router.traffic.RatingRequest;
import org.baobabcart.router.view.TrafficFeedback;
import org.baobabcart.router.view.TrafficView;
import org.junit.jupiter.api.Test;

class OutcomeObserverTest {
    private final List<String> told = new ArrayList<>();
    private final PublishedSheet sheet =
            new PublishedSheet(1, "publish", "test", 0, RollOutFleet.sheet(WhenControllerLost.REST));
    private final RollOutState begun = RollOutTransitions.begun(
            RollOutState.empty(), sheet.sheet().rollOuts().get(0), "router-1", "write");

    @Test
    void ratesAnswersOfBothVersionsOfARollOut() {
        OutcomeObserver observer = observer(begun, OptionalDouble.of(0.4));
        observer.passedOn(answer(RollOutFleet.OLD));
        observer.passedOn(answer(RollOutFleet.NEW));
        observer.passedOn(answer("v3"));
        observer.failed(RollOutFleet.MODEL, RollOutFleet.NEW);
        assertThat(
                told,
                contains(
                        "v1 true OptionalDouble[0.4]", "v2 true OptionalDouble[0.4]", "v2 false OptionalDouble.empty"));
    }

    @Test
    void tellsNothingWithoutARollOut() {
        OutcomeObserver observer = observer(RollOutState.empty(), OptionalDouble.of(0.4));
        observer.passedOn(answer(RollOutFleet.NEW));
        observer.failed(RollOutFleet.MODEL, RollOutFleet.NEW);
        assertThat(told, empty());
    }

    private OutcomeObserver observer(RollOutState state, OptionalDouble rating) {
        TrafficView view = new TrafficView(Optional.of(sheet), state, List.of(), Set.of(), false);
        return OutcomeObserver.create(() -> view, request -> Uni.createFrom().item(rating), new Told());
    }

    private static RatingRequest answer(String version) {
        return new RatingRequest("request", RollOutFleet.MODEL, version, "chat", "prompt", "answer");
    }

    private final class Told implements TrafficFeedback {
        @Override
        public void crashed(String upstream, String fingerprint) {}

        @Override
        public void unreachable(String upstream) {}

        @Override
        public void outcome(String model, String version, boolean success, OptionalDouble rating) {
            told.add(version + " " + success + " " + rating);
        }
    }
}
