package org.baobabcart.policy.admission;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/**
 * Tests that Retry-After slots are distinct, no denser than dispatches, fair by weight, and removed once they have
 * passed.
 */
class RetryAfterScheduleTest {
    private static final double GAP = Duration.ofMillis(10).toNanos();
    private static final Duration WAIT = Duration.ofSeconds(2);

    @Property(tries = 200, seed = "7307")
    void slotsAreDistinctAndNoDenserThanDispatches(
            @ForAll @IntRange(min = 1, max = 20) int workspaces,
            @ForAll @IntRange(min = 2, max = 40) int refusals,
            @ForAll long seed) {
        RetryAfterSchedule schedule = new RetryAfterSchedule(new Random(seed)::nextDouble);
        List<Long> slots = new ArrayList<>();
        for (int index = 0; index < workspaces; index++) {
            schedule.next(entry(0, "w" + index, 1), WAIT, GAP, 0);
        }
        for (int refusal = 0; refusal < refusals; refusal++) {
            for (int index = 0; index < workspaces; index++) {
                slots.add(schedule.next(entry(0, "w" + index, 1), WAIT, GAP, 0).toNanos());
            }
        }
        assertThat("all differ", workspaces > 1 || new HashSet<>(slots).size() == slots.size());
        long window = (long) (GAP * workspaces);
        for (long from = WAIT.toNanos(); from < WAIT.toNanos() + refusals * window; from += window) {
            long begin = from;
            long inWindow = slots.stream()
                    .filter(slot -> slot >= begin && slot < begin + window)
                    .count();
            assertThat(inWindow, lessThanOrEqualTo(2L * workspaces));
        }
        long last = slots.stream().mapToLong(Long::longValue).max().orElseThrow();
        assertThat((double) last, closeTo(WAIT.toNanos() + (refusals + 0.25) * window, 0.3 * window));
    }

    @Property(tries = 200, seed = "7308")
    void fewRefusalsDoNotWaitBehindManyOfAnotherWorkspace(
            @ForAll @IntRange(min = 1, max = 2000) int many, @ForAll @IntRange(min = 1, max = 8) int weight) {
        RetryAfterSchedule schedule = new RetryAfterSchedule(() -> 0);
        for (int refusal = 0; refusal < many; refusal++) {
            schedule.next(entry(0, "large", 1), WAIT, GAP, 0);
        }
        long first = schedule.next(entry(0, "small", weight), WAIT, GAP, 0).toNanos();
        long second = schedule.next(entry(0, "small", weight), WAIT, GAP, 0).toNanos();
        assertThat(first, equalTo(WAIT.toNanos()));
        assertThat((double) second - first, closeTo(GAP * (1 + weight) / weight, 1));
    }

    @Property(tries = 100, seed = "7309")
    void lessUrgentRanksDoNotDelayUrgentOnes(@ForAll @IntRange(min = 1, max = 200) int batch) {
        RetryAfterSchedule schedule = new RetryAfterSchedule(() -> 0);
        for (int refusal = 0; refusal < batch; refusal++) {
            schedule.next(entry(2, "b" + refusal % 5, 1), WAIT, GAP, 0);
        }
        long first = schedule.next(entry(0, "u", 1), WAIT, GAP, 0).toNanos();
        long second = schedule.next(entry(0, "u", 1), WAIT, GAP, 0).toNanos();
        assertThat((double) second - first, closeTo(GAP, 1));
    }

    @Example
    void passedSlotsAreRemoved() {
        RetryAfterSchedule schedule = new RetryAfterSchedule(() -> 0);
        for (int index = 0; index < 300; index++) {
            schedule.next(entry(index % 3, "w" + index, 1), WAIT, GAP, 0);
        }
        assertThat(schedule.size(), equalTo(300));
        schedule.next(entry(0, "later", 1), WAIT, GAP, Duration.ofMinutes(20).toNanos());
        assertThat(schedule.size(), equalTo(1));
    }

    @Example
    void slotsAreDistinctBeforeTheDispatchRateIsKnown() {
        RetryAfterSchedule schedule = new RetryAfterSchedule(() -> 0);
        Duration first = schedule.next(entry(0, "w", 1), Duration.ZERO, 0, 0);
        assertThat(schedule.next(entry(0, "w", 1), Duration.ZERO, 0, 0), greaterThan(first));
    }

    private static QueueEntry<Integer> entry(int rank, String workspace, double weight) {
        return new QueueEntry<>(rank, workspace, weight, 0, 0, 0);
    }
}
