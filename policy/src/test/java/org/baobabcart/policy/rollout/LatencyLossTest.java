package org.baobabcart.policy.rollout;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.time.Duration;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;

class LatencyLossTest {
    private static final Duration TARGET = Duration.ofMillis(800);

    @Property(seed = "3201", tries = 500)
    void lossIsBoundedAndIncreasesWithTime(
            @ForAll @LongRange(min = 0, max = 3_600_000) long millis,
            @ForAll @IntRange(min = 0, max = 8_192) int tokens) {
        double loss = LatencyLoss.of(Duration.ofMillis(millis), TARGET, tokens);
        assertThat(loss, greaterThanOrEqualTo(0.0));
        assertThat(loss, lessThanOrEqualTo(1.0));
        assertThat(LatencyLoss.of(Duration.ofMillis(millis + 1), TARGET, tokens), greaterThan(loss));
        assertThat(LatencyLoss.of(Duration.ofMillis(millis + 1), TARGET, tokens + 1), lessThan(1.0));
    }

    @Test
    void lossIsOneHalfAtObjectiveForAnyLength() {
        assertThat(LatencyLoss.of(TARGET, TARGET, 0), closeTo(0.5, 1e-9));
        assertThat(LatencyLoss.of(Duration.ofMillis(800 + 100 * 54), TARGET, 100), closeTo(0.5, 1e-9));
    }

    @Test
    void lossIsZeroForImmediateAnswer() {
        assertThat(LatencyLoss.of(Duration.ZERO, Duration.ZERO, 0), equalTo(0.0));
        assertThat(LatencyLoss.of(Duration.ofNanos(-1), TARGET, 1), equalTo(0.0));
    }
}
