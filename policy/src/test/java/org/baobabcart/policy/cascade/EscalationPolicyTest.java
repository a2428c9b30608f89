package org.baobabcart.policy.cascade;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

class EscalationPolicyTest {
    private static final int MOST_URGENT = 0;
    private static final int LEAST_URGENT = 5;
    private final EscalationPolicy policy = EscalationPolicy.defaults();

    @Test
    void lowConfidenceEscalatesInEveryRank() {
        assertThat(policy.isWorthwhile(40, MOST_URGENT, 0, 0), is(true));
        assertThat(policy.isWorthwhile(40, LEAST_URGENT, 0, 0), is(true));
    }

    @Test
    void mediumConfidenceEscalatesOnlyInUrgentRanks() {
        assertThat(policy.isWorthwhile(65, MOST_URGENT, 0, 0), is(true));
        assertThat(policy.isWorthwhile(65, LEAST_URGENT, 0, 0), is(false));
    }

    @Test
    void highConfidenceIsNotEscalated() {
        assertThat(policy.isWorthwhile(90, MOST_URGENT, 0, 0), is(false));
    }

    @Test
    void underPressureOnlyTheLowestConfidenceEscalates() {
        assertThat(policy.isWorthwhile(45, MOST_URGENT, 1.15, 0), is(false));
        assertThat(policy.isWorthwhile(5, MOST_URGENT, 1.15, 0), is(true));
    }

    @Test
    void lateAnswersAreNotWorthEscalating() {
        assertThat(policy.isWorthwhile(45, MOST_URGENT, 1.5, 0), is(false));
        assertThat(policy.isWorthwhile(5, LEAST_URGENT, 1.5, 0), is(false));
    }

    @Test
    void crowdingLimitsEscalationToShortPromptsOrLowConfidence() {
        assertThat(policy.isWorthwhile(40, MOST_URGENT, 0, 0.1), is(true));
        assertThat(policy.isWorthwhile(40, MOST_URGENT, 0, 0.8), is(false));
        assertThat(policy.isWorthwhile(5, MOST_URGENT, 0, 0.8), is(true));
    }

    @Test
    void pressureDecaysWithoutSamples() {
        LatencyPressure pressure = LatencyPressure.create();
        for (int answer = 0; answer < 50; answer++) {
            pressure.observe("model", 2, 0);
        }
        assertThat(pressure.of("model", 0) > 1.9, is(true));
        assertThat(pressure.of("model", 9_000_000_000L) < 0.5, is(true));
        assertThat(pressure.of("other", 0), is(0.0));
    }
}
