package org.baobabcart.policy.cascade;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.baobabcart.model.gateway.ModelSize;
import org.junit.jupiter.api.Test;

class EscalationTest {
    private static final ModelSize LARGE = new ModelSize("large", 0.32);
    private final Escalation escalation = new Escalation(2);

    @Test
    void aDoubtfulShortAnswerIsAskedOfTheLargerModel() {
        assertThat(escalation.pays(40, LARGE, 800, 300), is(true));
    }

    @Test
    void aConfidentAnswerIsKept() {
        assertThat(escalation.pays(100, LARGE, 800, 300), is(false));
    }

    @Test
    void aLongPromptIsAskedAgainOnlyWhereTheDoubtIsGreat() {
        assertThat(escalation.pays(60, LARGE, 12_000, 400), is(false));
        assertThat(escalation.pays(20, LARGE, 12_000, 400), is(true));
    }
}
