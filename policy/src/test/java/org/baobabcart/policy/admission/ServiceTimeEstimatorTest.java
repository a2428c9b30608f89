package org.baobabcart.policy.admission;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.time.Duration;
import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

class ServiceTimeEstimatorTest {
    private static final int SAMPLES = 400;

    @Property(tries = 200, seed = "7310")
    void estimateCoversNearlyAllWorkWithoutExcess(
            @ForAll @IntRange(min = 10, max = 10_000) int meanMillis, @ForAll long seed) {
        Random random = new Random(seed);
        ServiceTimeEstimator estimator = ServiceTimeEstimator.create();
        int covered = 0;
        long longest = 0;
        for (int sample = 0; sample < SAMPLES; sample++) {
            long nanos = Duration.ofMillis(meanMillis).toNanos() / 2 * (1 + random.nextInt(1000) / 500) + 1;
            covered += estimator.expected(64).toNanos() >= nanos ? 1 : 0;
            estimator.observe(64, nanos);
            longest = Math.max(longest, nanos);
        }
        assertThat((double) covered / SAMPLES, greaterThanOrEqualTo(0.9));
        assertThat(estimator.expected(64).toNanos(), lessThanOrEqualTo(2 * longest));
    }

    @Example
    void sizeClassesAreEstimatedSeparately() {
        ServiceTimeEstimator estimator = ServiceTimeEstimator.create();
        estimator.observe(2000, Duration.ofSeconds(60).toNanos());
        assertThat(estimator.expected(16), equalTo(Duration.ZERO));
        estimator.observe(16, Duration.ofMillis(100).toNanos());
        assertThat(estimator.expected(16), lessThanOrEqualTo(Duration.ofMillis(200)));
    }
}
