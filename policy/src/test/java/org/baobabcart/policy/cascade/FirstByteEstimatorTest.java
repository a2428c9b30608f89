package org.baobabcart.policy.cascade;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.util.Random;
import org.junit.jupiter.api.Test;

class FirstByteEstimatorTest {
    private static final String MODEL = "large";
    private static final String DRAFTS = "drafts";
    private static final String NOTES = "notes";
    private static final double MILLI = 1e6;
    private static final double BASE_MILLIS = 30;
    private static final double MILLIS_PER_TOKEN = 0.05;
    private static final long SECOND = 1_000_000_000L;

    private final Random random = new Random(17);
    private final FirstByteEstimator estimator = FirstByteEstimator.create();
    private long now;

    @Test
    void noEstimateWithTooFewSamples() {
        recordAnswers(DRAFTS, 5, 1);
        assertThat(estimator.expectedNanos(MODEL, DRAFTS, 10_000, now), is(0.0));
    }

    @Test
    void convergesForEachPromptLengthWithinAHundredAnswers() {
        recordAnswers(DRAFTS, 100, 1);
        assertThat(expectedMillis(DRAFTS, 500), closeTo(millis(500), millis(500) * 0.3));
        assertThat(expectedMillis(DRAFTS, 20_000), closeTo(millis(20_000), millis(20_000) * 0.1));
    }

    @Test
    void followsAnEngineThatSlowsDown() {
        recordAnswers(DRAFTS, 100, 1);
        recordAnswers(DRAFTS, 30, 4);
        assertThat(expectedMillis(DRAFTS, 10_000), greaterThan(2.5 * millis(10_000)));
    }

    @Test
    void loadOfOneRouteDoesNotAffectAnother() {
        recordAnswers(DRAFTS, 100, 1);
        recordAnswers(NOTES, 100, 1);
        recordAnswers(DRAFTS, 20, 5);
        assertThat(expectedMillis(NOTES, 1_000), lessThan(2 * millis(1_000)));
    }

    @Test
    void loadDecaysWithoutSamples() {
        recordAnswers(DRAFTS, 100, 1);
        recordAnswers(DRAFTS, 30, 4);
        double loaded = expectedMillis(DRAFTS, 10_000);
        now += 20 * SECOND;
        assertThat(expectedMillis(DRAFTS, 10_000), lessThan(0.7 * loaded));
    }

    @Test
    void crowdingGrowsWithPromptLengthWhileAnswersAreLate() {
        recordAnswers(DRAFTS, 100, 1);
        assertThat(estimator.crowding(MODEL, 20_000, now), is(0.0));
        recordAnswers(DRAFTS, 20, 4);
        assertThat(estimator.crowding(MODEL, 20_000, now), greaterThan(1.0));
        assertThat(estimator.crowding(MODEL, 200, now), lessThan(0.05));
    }

    private void recordAnswers(String route, int count, double factor) {
        for (int answer = 0; answer < count; answer++) {
            int tokens = 200 + random.nextInt(20_000);
            double noise = 0.8 + 0.4 * random.nextDouble();
            now += SECOND / 10;
            estimator.observe(MODEL, route, tokens, factor * noise * millis(tokens) * MILLI, factor > 1, now);
        }
    }

    private double expectedMillis(String route, int tokens) {
        return estimator.expectedNanos(MODEL, route, tokens, now) / MILLI;
    }

    private static double millis(int tokens) {
        return BASE_MILLIS + MILLIS_PER_TOKEN * tokens;
    }
}
