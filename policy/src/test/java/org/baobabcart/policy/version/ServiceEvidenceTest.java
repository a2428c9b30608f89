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
    private static final VersionRequestClass VERSION_CLASS = new VersionRequestClass("v2", "chat");

    /** Pooled evidence does not depend on which router recorded an outcome. */
    @Property
    void sumOverRoutersEqualsEvidenceOfOneRouter(
            @ForAll @Size(max = 30) List<@DoubleRange(min = 0, max = 90_000) Double> first,
            @ForAll @Size(max = 30) List<@DoubleRange(min = 0, max = 90_000) Double> second) {
        LatencyHistogram combined = times(times(LatencyHistogram.empty(), first), second);
        LatencyHistogram added = times(LatencyHistogram.empty(), first).plus(times(LatencyHistogram.empty(), second));
        assertThat(added, is(combined));
        assertThat(added.total(), is((long) first.size() + second.size()));
        ServiceEvidence sum = evidence(first).plus(evidence(second));
        assertThat(sum.countsOf("v2", "chat").startTimes(), is(combined));
        assertThat(
                sum.minus(evidence(first)).countsOf("v2", "chat").startTimes(),
                is(times(LatencyHistogram.empty(), second)));
    }

    @Property
    void histogramIsRestoredFromItsCounts(
            @ForAll @Size(max = 30) List<@DoubleRange(min = 0, max = 90_000) Double> millis) {
        LatencyHistogram histogram = times(LatencyHistogram.empty(), millis);
        assertThat(LatencyHistogram.of(histogram.byBucket()), is(histogram));
    }

    /** The upper bound of a bucket is a tenth above its lower bound. */
    @Property
    void latencyLiesWithinItsBucket(@ForAll @DoubleRange(min = 1, max = 60_000) double millis) {
        double lowerBound = LatencyHistogram.lowerBoundMillis(LatencyHistogram.bucketOf(millis));
        assertThat(millis / lowerBound, is(closeTo(1.045, 0.046)));
    }

    /** Other writers, such as routers of a later release, may use buckets that this release does not have. */
    @Property
    void ignoresUnknownBuckets(@ForAll @IntRange(min = 128) int beyond, @ForAll long count) {
        assertThat(LatencyHistogram.of(Map.of(beyond, count, -beyond, count)), is(LatencyHistogram.empty()));
    }

    private static ServiceEvidence evidence(List<Double> millis) {
        VersionCounts counts =
                new VersionCounts(0, 0, times(LatencyHistogram.empty(), millis), LatencyHistogram.empty());
        return new ServiceEvidence(Map.of(VERSION_CLASS, counts));
    }

    private static LatencyHistogram times(LatencyHistogram before, List<Double> millis) {
        return millis.stream().reduce(before, LatencyHistogram::with, LatencyHistogram::plus);
    }
}
