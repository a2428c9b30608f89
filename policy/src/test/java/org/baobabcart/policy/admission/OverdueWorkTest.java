package org.baobabcart.policy.admission;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/** Work past its rank's target waits behind timely work until its own deadline. */
class OverdueWorkTest {
    private static final List<Double> FLOORS = List.of(0.0, 0.1, 0.05);
    private static final long GAP = Duration.ofMillis(100).toNanos();
    private static final long TARGET = 10 * GAP;
    private static final int WARM_UP = 40;
    private static final double LEAST_SHARE_OF_OVERDUE = 0.2;

    @Property(tries = 200, seed = "7304")
    void aStormWaitsUntilItsDeadlinesAndNothingIsRefusedThatCanStart(
            @ForAll @IntRange(min = 20, max = 300) int callers, @ForAll @IntRange(min = 1, max = 5) int workspaces) {
        AdmissionQueue<Integer> queue = steady();
        long now = WARM_UP * GAP;
        long deadline = now + (callers + 2) * GAP * 2;
        List<Rejection<Integer>> refused = new ArrayList<>();
        for (int caller = 0; caller < callers; caller++) {
            String workspace = "w" + caller % workspaces;
            refused.addAll(queue.offer(new Entry<>(1, workspace, 1, now + TARGET, deadline, caller), now));
        }
        int started = 0;
        while (queue.size() > 0) {
            now += GAP;
            refused.addAll(queue.expire(now));
            assertThat("work waits and none is started", queue.poll(FLOORS, now).isPresent(), is(true));
            started++;
        }
        assertThat(refused, empty());
        assertThat(started, equalTo(callers));
    }

    @Property(tries = 200, seed = "7305")
    void whatCannotStartByItsDeadlineIsRefusedWhenItArrives(
            @ForAll @IntRange(min = 2, max = 200) int before, @ForAll @IntRange(min = 1, max = 99) int percent) {
        AdmissionQueue<Integer> queue = steady();
        long now = WARM_UP * GAP;
        for (int index = 0; index < before; index++) {
            queue.offer(new Entry<>(1, "w", 1, now + TARGET, Long.MAX_VALUE / 4, index), now);
        }
        long deadline = now + before * GAP * percent / 100;
        List<Rejection<Integer>> refused =
                queue.offer(new Entry<>(1, "w", 1, Math.min(deadline, now + TARGET), deadline, -1), now);
        assertThat(refused, hasSize(1));
        assertThat(refused.get(0).retryAfter().toNanos(), greaterThanOrEqualTo((before - 1) * GAP));
    }

    @Property(tries = 100, seed = "7306")
    void overdueWorkKeepsAShareWhileTimelyWorkFloodsIn(@ForAll @IntRange(min = 1, max = 4) int floodPerDispatch) {
        AdmissionQueue<Integer> queue = steady();
        long now = WARM_UP * GAP;
        int overdue = 50;
        for (int index = 0; index < overdue; index++) {
            queue.offer(new Entry<>(0, "early", 1, now, Long.MAX_VALUE / 4, index), now);
        }
        now += GAP;
        queue.expire(now);
        int served = 0;
        int dispatches = 200;
        for (int dispatch = 0; dispatch < dispatches && served < overdue; dispatch++) {
            now += GAP;
            for (int index = 0; index < floodPerDispatch; index++) {
                queue.offer(new Entry<>(0, "late", 1, Long.MAX_VALUE / 4, Long.MAX_VALUE / 4, -1), now);
            }
            served += queue.poll(FLOORS, now).filter(entry -> entry.item() >= 0).isPresent() ? 1 : 0;
            double due = LEAST_SHARE_OF_OVERDUE * dispatch - 2;
            assertThat((double) served, greaterThanOrEqualTo(Math.min(overdue, due)));
        }
    }

    @Property(tries = 200, seed = "7311")
    void aPauseAfterTheFirstFewDispatchesRefusesNothing(
            @ForAll @IntRange(min = 1, max = 15) int dispatches, @ForAll @IntRange(min = 1, max = 60) int pauseGaps) {
        AdmissionQueue<Integer> queue = AdmissionQueue.create(new AdmissionQueue.Settings(100_000, 100_000), () -> 0);
        long deadline = 400 * GAP;
        List<Rejection<Integer>> refused = new ArrayList<>();
        for (int index = 0; index < 100; index++) {
            refused.addAll(queue.offer(new Entry<>(1, "w", 1, TARGET, deadline, index), 0));
        }
        for (int index = 0; index < dispatches; index++) {
            queue.poll(FLOORS, index * GAP);
        }
        long now = (dispatches + pauseGaps) * GAP;
        refused.addAll(queue.expire(now));
        refused.addAll(queue.offer(new Entry<>(1, "w", 1, now + TARGET, now + deadline, 100), now));
        assertThat(refused, empty());
    }

    @Example
    void timelyWorkGoesBeforeOverdueWork() {
        AdmissionQueue<Integer> queue = steady();
        long now = WARM_UP * GAP;
        queue.offer(new Entry<>(1, "w", 1, now, Long.MAX_VALUE / 4, 1), now);
        now += GAP;
        queue.expire(now);
        queue.offer(new Entry<>(1, "w", 1, now + TARGET, Long.MAX_VALUE / 4, 2), now);
        assertThat(queue.poll(FLOORS, now).map(Entry::item), equalTo(Optional.of(2)));
        assertThat(queue.poll(FLOORS, now).map(Entry::item), equalTo(Optional.of(1)));
    }

    @Example
    void aWorkspaceDoesNotPayForWorkThatWasGivenUp() {
        AdmissionQueue<Integer> queue = steady();
        long now = WARM_UP * GAP;
        for (int index = 0; index < 50; index++) {
            queue.offer(new Entry<>(1, "gone", 1, Long.MAX_VALUE / 4, Long.MAX_VALUE / 4, index), now);
        }
        for (int index = 0; index < 50; index++) {
            queue.remove(index);
        }
        for (int index = 100; index < 110; index++) {
            queue.offer(new Entry<>(1, "other", 1, Long.MAX_VALUE / 4, Long.MAX_VALUE / 4, index), now);
        }
        queue.offer(new Entry<>(1, "gone", 1, Long.MAX_VALUE / 4, Long.MAX_VALUE / 4, 7), now);
        List<Integer> first = List.of(
                queue.poll(FLOORS, now).orElseThrow().item(),
                queue.poll(FLOORS, now).orElseThrow().item());
        assertThat(first.contains(7), is(true));
    }

    /** A queue that has dispatched one entry a gap so far, up to the end of the warm-up. */
    private static AdmissionQueue<Integer> steady() {
        AdmissionQueue<Integer> queue = AdmissionQueue.create(new AdmissionQueue.Settings(100_000, 100_000), () -> 0);
        for (int index = 0; index <= WARM_UP; index++) {
            queue.offer(new Entry<>(1, "warm-up", 1, Long.MAX_VALUE / 4, Long.MAX_VALUE / 4, index), 0);
        }
        for (int index = 0; index <= WARM_UP; index++) {
            queue.poll(FLOORS, index * GAP);
        }
        return queue;
    }
}
