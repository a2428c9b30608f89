package org.baobabcart.policy.rollout;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class SequentialTestTest {
    private static final double PROBABILITY = 0.05;
    private static final double THRESHOLD = Math.log(1 / PROBABILITY);

    @Test
    void falsePositivesAndCoverageStayWithinBound() {
        int crossings = 0;
        int covered = 0;
        SplittableRandom random = new SplittableRandom(2101);
        for (int history = 0; history < 1_000; history++) {
            double mean = 0.02 + 0.3 * random.nextDouble();
            boolean crossed = false;
            boolean isCovered = true;
            double sum = 0;
            for (int count = 1; count <= 400; count++) {
                sum += random.nextDouble() < mean ? 1 : 0;
                LossSample sample = LossSample.ofCounts(count, sum);
                crossed |= SequentialTest.logEvidenceAbove(sample, mean) >= THRESHOLD;
                isCovered &= count % 20 != 0 || SequentialTest.upperMean(sample, THRESHOLD) >= mean;
            }
            crossings += crossed ? 1 : 0;
            covered += isCovered ? 1 : 0;
        }
        System.out.printf("sequential: crossings %d covered %d of 1000%n", crossings, covered);
        assertThat(crossings / 1_000.0, lessThanOrEqualTo(PROBABILITY));
        assertThat(covered / 1_000.0, greaterThan(1 - PROBABILITY));
    }

    @Property(seed = "2102", tries = 300)
    void evidenceDoesNotIncreaseWithBound(
            @ForAll @IntRange(min = 1, max = 5_000) int count,
            @ForAll @DoubleRange(min = 0, max = 1) double mean,
            @ForAll @DoubleRange(min = 0, max = 0.98) double bound) {
        LossSample sample = LossSample.ofCounts(count, mean * count);
        double higher = bound + 0.01;
        if (mean > higher) {
            double evidence = Math.max(0, SequentialTest.logEvidenceAbove(sample, bound));
            assertThat(SequentialTest.logEvidenceAbove(sample, higher), lessThanOrEqualTo(evidence + 1e-9));
        }
    }

    @Property(seed = "2103", tries = 300)
    void upperMeanConvergesToMeanFromAbove(
            @ForAll @IntRange(min = 1, max = 5_000) int count, @ForAll @DoubleRange(min = 0, max = 1) double mean) {
        double few = SequentialTest.upperMean(LossSample.ofCounts(count, mean * count), THRESHOLD);
        double many = SequentialTest.upperMean(LossSample.ofCounts(count * 100.0, mean * count * 100), THRESHOLD);
        assertThat(few, greaterThan(mean - 1e-6));
        assertThat(many, lessThan(few + 1e-6));
    }

    @Test
    void emptySampleIsNoEvidence() {
        assertThat(SequentialTest.logEvidenceAbove(LossSample.ofCounts(0, 0), 0.1), equalTo(0.0));
        assertThat(SequentialTest.upperMean(LossSample.ofCounts(0, 0), THRESHOLD), closeTo(1, 1e-9));
    }
}
