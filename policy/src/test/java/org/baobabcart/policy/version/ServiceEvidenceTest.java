package org.baobabcart.policy.version;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

class ServiceEvidenceTest {
    private static final VersionRequestClass WORK = new VersionRequestClass("v2", "chat");

    /** It makes no difference which router has seen what. */
    @Property
    void whatRoutersHaveSeenAddsUpToWhatOneWouldHaveSeen(
            @ForAll @Size(max = 30) List<@DoubleRange(min = 0, max = 90_000) Double> first,
            @ForAll @Size(max = 30) List<@DoubleRange(min = 0, max = 90_000) Double> second) {
        LatencyHistogram one = times(times(LatencyHistogram.empty(), first), second);
        LatencyHistogram both = times(LatencyHistogram.empty(), first).plus(times(LatencyHistogram.empty(), second));
        assertThat(both, is(one));
        assertThat(both.total(), is((long) first.size() + second.size()));
        ServiceEvidence sum = evidence(first).plus(evidence(second));
        assertThat(sum.countsOf("v2", "chat").startTimes(), is(one));
        assertThat(
                sum.minus(evidence(first)).countsOf("v2", "chat").startTimes(),
                is(times(LatencyHistogram.empty(), second)));
    }

    @Property
    void aHistogramIsTheSameAfterItWasWrittenAndRead(
            @ForAll @Size(max = 30) List<@DoubleRange(min = 0, max = 90_000) Double> millis) {
        LatencyHistogram histogram = times(LatencyHistogram.empty(), millis);
        assertThat(LatencyHistogram.of(histogram.byBucket()), is(histogram));
    }

    /** A bucket ends a tenth above its beginning. */
    @Property
    void aTimeLiesInItsBucket(@ForAll @DoubleRange(min = 1, max = 60_000) double millis) {
        double begin = LatencyHistogram.lowerBoundMillis(LatencyHistogram.bucketOf(millis));
        assertThat(millis / begin, is(closeTo(1.045, 0.046)));
    }

    /** Such as of a router of a later release, or of another writer. */
    @Property
    void bucketsThatThereAreNotCountNothing(@ForAll @IntRange(min = 128) int beyond, @ForAll long count) {
        assertThat(LatencyHistogram.of(Map.of(beyond, count, -beyond, count)), is(LatencyHistogram.empty()));
    }

    private static ServiceEvidence evidence(List<Double> millis) {
        VersionCounts counts =
                new VersionCounts(0, 0, times(LatencyHistogram.empty(), millis), LatencyHistogram.empty());
        return new ServiceEvidence(Map.of(WORK, counts));
    }

    private static LatencyHistogram times(LatencyHistogram before, List<Double> millis) {
        return millis.stream().reduce(before, LatencyHistogram::with, LatencyHistogram::plus);
    }
}
