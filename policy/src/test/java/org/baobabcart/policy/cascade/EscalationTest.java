package org.baobabcart.policy.cascade;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.baobabcart.model.gateway.ModelSize;
import org.junit.jupiter.api.Test;

class EscalationTest {
    private static final ModelSize LARGE = new ModelSize("large", 0.32);
    private final Escalation escalation = Escalation.defaults();

    @Test
    void aDoubtfulShortAnswerIsAskedOfTheLargerModel() {
        assertThat(escalation.pays(40, LARGE, 800, 300, 0), is(true));
    }

    @Test
    void aShortAnswerToALongPromptIsSeldomWorthTheLargerModel() {
        assertThat(escalation.pays(80, LARGE, 2_400, 25, 0), is(false));
        assertThat(escalation.pays(5, LARGE, 2_400, 25, 0), is(true));
    }

    @Test
    void aConfidentAnswerIsKept() {
        assertThat(escalation.pays(100, LARGE, 800, 300, 0), is(false));
    }

    @Test
    void aLongPromptIsAskedAgainOnlyWhereTheDoubtIsGreat() {
        assertThat(escalation.pays(60, LARGE, 12_000, 400, 0), is(false));
        assertThat(escalation.pays(20, LARGE, 12_000, 400, 0), is(true));
    }

    @Test
    void inABurstOnlyTheMostDoubtfulAnswersAreAskedAgain() {
        assertThat(escalation.pays(40, LARGE, 800, 300, 1.5), is(false));
        assertThat(escalation.pays(5, LARGE, 800, 300, 1.5), is(true));
    }

    @Test
    void pressureFadesWhileNothingIsSeen() {
        AnswerPressure pressure = AnswerPressure.create();
        for (int answer = 0; answer < 50; answer++) {
            pressure.observe("model", 2, 0);
        }
        assertThat(pressure.of("model", 0) > 1.9, is(true));
        assertThat(pressure.of("model", 9_000_000_000L) < 0.5, is(true));
        assertThat(pressure.of("other", 0), is(0.0));
    }
}
