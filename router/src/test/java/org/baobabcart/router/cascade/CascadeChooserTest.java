package org.baobabcart.router.cascade;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.time.Duration;
import java.util.List;
import java.util.OptionalDouble;
import org.baobabcart.policy.cascade.CascadePlan;
import org.baobabcart.policy.cascade.CascadeSettings;
import org.baobabcart.policy.cascade.CascadeStep;
import org.baobabcart.router.testing.ManualTimerService;
import org.junit.jupiter.api.Test;

class CascadeChooserTest {
    private static final String REQUEST_CLASS = "kind";
    private static final CascadePlan PLAN =
            new CascadePlan(0.8, List.of(new CascadeStep("small", 0.1, 0.7), new CascadeStep("large", 1, 0.95)));

    private final ManualTimerService timers = ManualTimerService.create();
    private final CascadeChooser chooser =
            CascadeChooser.create(CascadeSettings.defaults(), timers::nanoTime, () -> 0.5);

    @Test
    void learnsFromRatingsPerRequestClass() {
        assertThat(chooser.firstStep(PLAN, REQUEST_CLASS), equalTo(0));
        for (int response = 0; response < 40; response++) {
            assertThat(rate(OptionalDouble.of(0.7)), is(false));
        }
        assertThat(chooser.firstStep(PLAN, REQUEST_CLASS), equalTo(1));
        assertThat(chooser.firstStep(PLAN, "another"), equalTo(0));
    }

    @Test
    void usesDeclaredQualityWhileRatingsAreUnavailableAndRetriesAfterAnInterval() {
        for (int response = 0; response < 3; response++) {
            assertThat(rate(OptionalDouble.empty()), is(false));
        }
        assertThat(chooser.firstStep(PLAN, REQUEST_CLASS), equalTo(1));
        timers.advance(Duration.ofSeconds(6));
        assertThat(chooser.firstStep(PLAN, REQUEST_CLASS), equalTo(0));
        assertThat(chooser.firstStep(PLAN, REQUEST_CLASS), equalTo(1));
        assertThat(rate(OptionalDouble.of(0.9)), is(true));
        assertThat(chooser.firstStep(PLAN, REQUEST_CLASS), equalTo(0));
    }

    @Test
    void requestClassesDifferByWorkspaceAndPromptLength() {
        assertThat(RequestClassifier.of("one", "chat", 100), equalTo(RequestClassifier.of("one", "chat", 120)));
        assertThat(RequestClassifier.of("one", "chat", 100), not(RequestClassifier.of("one", "chat", 4_000)));
        assertThat(RequestClassifier.of("one", "chat", 100), not(RequestClassifier.of("two", "chat", 100)));
    }

    private boolean rate(OptionalDouble rating) {
        return chooser.afterAnswer(PLAN, REQUEST_CLASS, 0, false, rating).accepted();
    }
}
