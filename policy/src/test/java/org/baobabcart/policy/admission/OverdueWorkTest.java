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

/** Tests that work past its rank's target stays queued behind timely work until its own deadline. */
class OverdueWorkTest {
    private static final List<Double> FLOORS = List.of(0.0, 0.1, 0.05);
    private static final long GAP = Duration.ofMillis(100).toNanos();
    private static final long TARGET = 10 * GAP;
    private static final int WARM_UP_DISPATCHES = 40;
    private static final double MINIMUM_OVERDUE_SHARE = 0.2;

    @Property(tries = 200, seed = "7304")
    void burstIsNotRefusedWhileItsDeadlinesCanBeMet(
            @ForAll @IntRange(min = 20, max = 300) int callers, @ForAll @IntRange(min = 1, max = 5) int workspaces) {
        AdmissionQueue<Integer> queue = warmedUpQueue();
        long now = WARM_UP_DISPATCHES * GAP;
        long deadline = now + (callers + 2) * GAP * 2;
        List<Rejection<Integer>> rejections = new ArrayList<>();
        for (int caller = 0; caller < callers; caller++) {
            String workspace = "w" + caller % workspaces;
            rejections.addAll(queue.offer(new QueueEntry<>(1, workspace, 1, now + TARGET, deadline, caller), now));
        }
        int started = 0;
        while (queue.size() > 0) {
            now += GAP;
            rejections.addAll(queue.expire(now));
            assertThat("work waits and none is started", queue.poll(FLOORS, now).isPresent(), is(true));
            started++;
        }
        assertThat(rejections, empty());
        assertThat(started, equalTo(callers));
    }

    @Property(tries = 200, seed = "7305")
    void unreachableDeadlineIsRefusedOnArrival(
            @ForAll @IntRange(min = 2, max = 200) int queuedBefore, @ForAll @IntRange(min = 1, max = 99) int percent) {
        AdmissionQueue<Integer> queue = warmedUpQueue();
        long now = WARM_UP_DISPATCHES * GAP;
        for (int index = 0; index < queuedBefore; index++) {
            queue.offer(new QueueEntry<>(1, "w", 1, now + TARGET, Long.MAX_VALUE / 4, index), now);
        }
        long deadline = now + queuedBefore * GAP * percent / 100;
        List<Rejection<Integer>> rejections =
                queue.offer(new QueueEntry<>(1, "w", 1, Math.min(deadline, now + TARGET), deadline, -1), now);
        assertThat(rejections, hasSize(1));
        assertThat(rejections.get(0).retryAfter().toNanos(), greaterThanOrEqualTo((queuedBefore - 1) * GAP));
    }

    @Property(tries = 100, seed = "7306")
    void overdueWorkGetsItsShareUnderTimelyLoad(@ForAll @IntRange(min = 1, max = 4) int arrivalsPerDispatch) {
        AdmissionQueue<Integer> queue = warmedUpQueue();
        long now = WARM_UP_DISPATCHES * GAP;
        int overdue = 50;
        for (int index = 0; index < overdue; index++) {
            queue.offer(new QueueEntry<>(0, "early", 1, now, Long.MAX_VALUE / 4, index), now);
        }
        now += GAP;
        queue.expire(now);
        int served = 0;
        int dispatches = 200;
        for (int dispatch = 0; dispatch < dispatches && served < overdue; dispatch++) {
            now += GAP;
            for (int index = 0; index < arrivalsPerDispatch; index++) {
                queue.offer(new QueueEntry<>(0, "late", 1, Long.MAX_VALUE / 4, Long.MAX_VALUE / 4, -1), now);
            }
            served += queue.poll(FLOORS, now).filter(entry -> entry.item() >= 0).isPresent() ? 1 : 0;
            double expected = MINIMUM_OVERDUE_SHARE * dispatch - 2;
            assertThat((double) served, greaterThanOrEqualTo(Math.min(overdue, expected)));
        }
    }

    @Property(tries = 200, seed = "7311")
    void pauseAfterFewDispatchesCausesNoRefusals(
            @ForAll @IntRange(min = 1, max = 15) int dispatches, @ForAll @IntRange(min = 1, max = 60) int pauseGaps) {
        AdmissionQueue<Integer> queue = AdmissionQueue.create(new AdmissionQueue.Settings(100_000, 100_000), () -> 0);
        long deadline = 400 * GAP;
        List<Rejection<Integer>> rejections = new ArrayList<>();
        for (int index = 0; index < 100; index++) {
            rejections.addAll(queue.offer(new QueueEntry<>(1, "w", 1, TARGET, deadline, index), 0));
        }
        for (int index = 0; index < dispatches; index++) {
            queue.poll(FLOORS, index * GAP);
        }
        long now = (dispatches + pauseGaps) * GAP;
        rejections.addAll(queue.expire(now));
        rejections.addAll(queue.offer(new QueueEntry<>(1, "w", 1, now + TARGET, now + deadline, 100), now));
        assertThat(rejections, empty());
    }

    @Example
    void timelyWorkIsDispatchedBeforeOverdueWork() {
        AdmissionQueue<Integer> queue = warmedUpQueue();
        long now = WARM_UP_DISPATCHES * GAP;
        queue.offer(new QueueEntry<>(1, "w", 1, now, Long.MAX_VALUE / 4, 1), now);
        now += GAP;
        queue.expire(now);
        queue.offer(new QueueEntry<>(1, "w", 1, now + TARGET, Long.MAX_VALUE / 4, 2), now);
        assertThat(queue.poll(FLOORS, now).map(QueueEntry::item), equalTo(Optional.of(2)));
        assertThat(queue.poll(FLOORS, now).map(QueueEntry::item), equalTo(Optional.of(1)));
    }

    @Example
    void removedWorkIsNotChargedToItsWorkspace() {
        AdmissionQueue<Integer> queue = warmedUpQueue();
        long now = WARM_UP_DISPATCHES * GAP;
        for (int index = 0; index < 50; index++) {
            queue.offer(new QueueEntry<>(1, "gone", 1, Long.MAX_VALUE / 4, Long.MAX_VALUE / 4, index), now);
        }
        for (int index = 0; index < 50; index++) {
            queue.remove(index);
        }
        for (int index = 100; index < 110; index++) {
            queue.offer(new QueueEntry<>(1, "other", 1, Long.MAX_VALUE / 4, Long.MAX_VALUE / 4, index), now);
        }
        queue.offer(new QueueEntry<>(1, "gone", 1, Long.MAX_VALUE / 4, Long.MAX_VALUE / 4, 7), now);
        List<Integer> first = List.of(
                queue.poll(FLOORS, now).orElseThrow().item(),
                queue.poll(FLOORS, now).orElseThrow().item());
        assertThat(first.contains(7), is(true));
    }

    /** Returns a queue that has dispatched one entry per gap until the end of the warm-up. */
    private static AdmissionQueue<Integer> warmedUpQueue() {
        AdmissionQueue<Integer> queue = AdmissionQueue.create(new AdmissionQueue.Settings(100_000, 100_000), () -> 0);
        for (int index = 0; index <= WARM_UP_DISPATCHES; index++) {
            queue.offer(new QueueEntry<>(1, "warm-up", 1, Long.MAX_VALUE / 4, Long.MAX_VALUE / 4, index), 0);
        }
        for (int index = 0; index <= WARM_UP_DISPATCHES; index++) {
            queue.poll(FLOORS, index * GAP);
        }
        return queue;
    }
}
