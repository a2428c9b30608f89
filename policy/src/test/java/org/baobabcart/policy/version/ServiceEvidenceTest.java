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
    private static final VersionWork WORK = new VersionWork("v2", "chat");

    /** It makes no difference which router has seen what. */
    @Property
    void whatRoutersHaveSeenAddsUpToWhatOneWouldHaveSeen(
            @ForAll @Size(max = 30) List<@DoubleRange(min = 0, max = 90_000) Double> first,
            @ForAll @Size(max = 30) List<@DoubleRange(min = 0, max = 90_000) Double> second) {
        TimeHistogram one = times(times(TimeHistogram.empty(), first), second);
        TimeHistogram both = times(TimeHistogram.empty(), first).plus(times(TimeHistogram.empty(), second));
        assertThat(both, is(one));
        assertThat(both.total(), is((long) first.size() + second.size()));
        ServiceEvidence sum = evidence(first).plus(evidence(second));
        assertThat(sum.countsOf("v2", "chat").startTimes(), is(one));
        assertThat(
                sum.minus(evidence(first)).countsOf("v2", "chat").startTimes(),
                is(times(TimeHistogram.empty(), second)));
    }

    @Property
    void aHistogramIsTheSameAfterItWasWrittenAndRead(
            @ForAll @Size(max = 30) List<@DoubleRange(min = 0, max = 90_000) Double> millis) {
        TimeHistogram histogram = times(TimeHistogram.empty(), millis);
        assertThat(TimeHistogram.of(histogram.byBucket()), is(histogram));
    }

    /** A bucket ends a tenth above its beginning. */
    @Property
    void aTimeLiesInItsBucket(@ForAll @DoubleRange(min = 1, max = 60_000) double millis) {
        double begin = TimeHistogram.lowerBoundMillis(TimeHistogram.bucketOf(millis));
        assertThat(millis / begin, is(closeTo(1.045, 0.046)));
    }

    /** Such as of a router of a later release, or of another writer. */
    @Property
    void bucketsThatThereAreNotCountNothing(@ForAll @IntRange(min = 128) int beyond, @ForAll long count) {
        assertThat(TimeHistogram.of(Map.of(beyond, count, -beyond, count)), is(TimeHistogram.empty()));
    }

    private static ServiceEvidence evidence(List<Double> millis) {
        VersionCounts counts = new VersionCounts(0, 0, times(TimeHistogram.empty(), millis), TimeHistogram.empty());
        return new ServiceEvidence(Map.of(WORK, counts));
    }

    private static TimeHistogram times(TimeHistogram before, List<Double> millis) {
        return millis.stream().reduce(before, TimeHistogram::with, TimeHistogram::plus);
    }
}
