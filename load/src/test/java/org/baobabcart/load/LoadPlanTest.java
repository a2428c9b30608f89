package org.baobabcart.load;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.LongStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class LoadPlanTest {
    private static final LoadSettings SETTINGS = LoadSettings.of(
                    List.of("http://a", "http://b"),
                    List.of(new LoadWorkspace("large", "k1", 20), new LoadWorkspace("small", "k2", 1)),
                    "m")
            .withRanks(List.of(new RankShare("urgent", 1), new RankShare("batch", 3)))
            .withRate(Shape.STEADY, 200, Duration.ofSeconds(20));

    @Test
    void sameSeedGivesSamePlan() {
        assertThat(LoadPlan.of(SETTINGS), equalTo(LoadPlan.of(SETTINGS)));
    }

    @Test
    void requestsFollowWorkspaceAndRankShares() {
        List<PlannedRequest> plan = LoadPlan.of(SETTINGS);
        assertThat(
                share(
                        plan.stream()
                                .filter(request -> request.rank().equals("urgent"))
                                .count(),
                        plan),
                near(0.25));
        assertThat(
                share(
                        plan.stream()
                                .filter(request -> request.workspace().name().equals("large"))
                                .count(),
                        plan),
                near(20.0 / 21));
        assertThat((double) plan.size(), near(4_000, 300));
    }

    @Test
    void requestCountIsLimited() {
        assertThat(LoadPlan.of(SETTINGS.withMostRequests(7)).size(), equalTo(7));
    }

    @Property(seed = "11", tries = 50)
    void arrivalsAreSortedAndWithinDuration(
            @ForAll Shape shape,
            @ForAll @DoubleRange(min = 1, max = 500) double rate,
            @ForAll @IntRange(min = 1, max = 20) int seconds) {
        long[] starts = shape.arrivals(rate, seconds, new SplittableRandom(1));
        long latest = shape == Shape.WAKE_STORM ? 1_000_000_000L : seconds * 1_000_000_000L;
        for (int index = 0; index < starts.length; index++) {
            assertThat(starts[index], lessThanOrEqualTo(latest));
            assertThat(starts[Math.max(0, index - 1)], lessThanOrEqualTo(starts[index]));
        }
    }

    @Test
    void floodRaisesRateInMiddleThird() {
        long[] starts = Shape.FLOOD.arrivals(100, 30, new SplittableRandom(3));
        long early =
                LongStream.of(starts).filter(start -> start < 10_000_000_000L).count();
        long middle = LongStream.of(starts)
                .filter(start -> start >= 10_000_000_000L && start < 20_000_000_000L)
                .count();
        assertThat((double) middle / early, near(4, 0.5));
    }

    private static double share(long count, List<PlannedRequest> plan) {
        return (double) count / plan.size();
    }

    private static org.hamcrest.Matcher<Double> near(double value) {
        return near(value, 0.03);
    }

    private static org.hamcrest.Matcher<Double> near(double value, double tolerance) {
        return org.hamcrest.Matchers.closeTo(value, tolerance);
    }
}
