package org.baobabcart.policy.admission;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import net.jqwik.api.constraints.UniqueElements;
import org.baobabcart.model.result.ResultCode;

class AdmissionQueueTest {
    private static final List<Double> FLOORS = List.of(0.0, 0.1, 0.05);
    private static final long DISTANT_NANOS = Long.MAX_VALUE / 4;
    private static final AdmissionQueue.Settings LARGE_CAPACITY = new AdmissionQueue.Settings(100_000, 100_000);

    /** An arrival, or a dispatch if the rank is negative. */
    record Step(int rank, String workspace, long latestStart) {}

    /** A queue for each rank up to that of an entry once took all memory. */
    @Property(tries = 300)
    void onlyTheOrderOfRanksMatters(
            @ForAll @Size(min = 1, max = 40) List<@IntRange(max = 3) Integer> ranks,
            @ForAll @Size(value = 4) @UniqueElements List<@IntRange Integer> numbers) {
        List<Integer> ordered = numbers.stream().sorted().toList();
        AdmissionQueue<Integer> small = AdmissionQueue.create(new AdmissionQueue.Settings(20, 10), () -> 0);
        AdmissionQueue<Integer> large = AdmissionQueue.create(new AdmissionQueue.Settings(20, 10), () -> 0);
        for (int item = 0; item < ranks.size(); item++) {
            String workspace = "w" + item % 3;
            QueueEntry<Integer> entry =
                    new QueueEntry<>(ranks.get(item), workspace, 1, DISTANT_NANOS, DISTANT_NANOS, item);
            QueueEntry<Integer> renumbered =
                    new QueueEntry<>(ordered.get(ranks.get(item)), workspace, 1, DISTANT_NANOS, DISTANT_NANOS, item);
            assertThat(items(large.offer(renumbered, item)), equalTo(items(small.offer(entry, item))));
            if (item % 3 == 2) {
                assertThat(
                        large.poll(List.of(), item).map(QueueEntry::item),
                        equalTo(small.poll(List.of(), item).map(QueueEntry::item)));
            }
        }
        while (small.size() > 0) {
            assertThat(
                    large.poll(List.of(), ranks.size()).map(QueueEntry::item),
                    equalTo(small.poll(List.of(), ranks.size()).map(QueueEntry::item)));
        }
    }

    private static List<Integer> items(List<Rejection<Integer>> rejections) {
        return rejections.stream().map(rejection -> rejection.entry().item()).toList();
    }

    @Property(tries = 500, seed = "7301")
    void everyEntryLeavesOnceAndSizeIsBounded(@ForAll("histories") List<Step> steps) {
        AdmissionQueue<Integer> queue = AdmissionQueue.create(new AdmissionQueue.Settings(10, 5), () -> 0);
        Set<Integer> departedItems = new HashSet<>();
        int arrived = 0;
        int departed = 0;
        long now = 0;
        for (Step step : steps) {
            now++;
            List<Integer> leaving = new ArrayList<>();
            if (step.rank() < 0) {
                queue.expire(now)
                        .forEach(rejection -> leaving.add(rejection.entry().item()));
                queue.poll(FLOORS, now).ifPresent(entry -> leaving.add(entry.item()));
            } else {
                arrived++;
                QueueEntry<Integer> entry = new QueueEntry<>(
                        step.rank(), step.workspace(), 1, step.latestStart() / 2, step.latestStart(), arrived);
                queue.offer(entry, now)
                        .forEach(rejection -> leaving.add(rejection.entry().item()));
            }
            departed += leaving.size();
            leaving.forEach(item -> assertThat("left twice: " + item, departedItems.add(item), is(true)));
            assertThat(queue.size(), lessThanOrEqualTo(10));
            assertThat(queue.size(), equalTo(arrived - departed));
        }
    }

    @Property(tries = 200, seed = "7302")
    void everyRankGetsItsFloorUnderMoreUrgentLoad(
            @ForAll @IntRange(min = 1, max = 9) int middleTenths, @ForAll @IntRange(min = 1, max = 9) int lowTenths) {
        int sum = Math.max(10, middleTenths + lowTenths);
        List<Double> floors = List.of(0.0, (double) middleTenths / sum, (double) lowTenths / sum);
        AdmissionQueue<Integer> queue = AdmissionQueue.create(LARGE_CAPACITY, () -> 0);
        int[] served = new int[3];
        int dispatches = 500;
        for (int index = 0; index < dispatches; index++) {
            for (int rank = 0; rank < 3; rank++) {
                queue.offer(new QueueEntry<>(rank, "w", 1, DISTANT_NANOS, DISTANT_NANOS, rank), 0);
            }
            served[queue.poll(floors, 0).orElseThrow().rank()]++;
        }
        assertThat((double) served[1], greaterThanOrEqualTo(floors.get(1) * dispatches - 2));
        assertThat((double) served[2], greaterThanOrEqualTo(floors.get(2) * dispatches - 2));
    }

    @Property(tries = 200, seed = "7303")
    void backloggedWorkspacesShareByWeight(
            @ForAll @IntRange(min = 1, max = 8) int small, @ForAll @IntRange(min = 1, max = 8) int large) {
        AdmissionQueue<Integer> queue = AdmissionQueue.create(LARGE_CAPACITY, () -> 0);
        for (int index = 0; index < 2000; index++) {
            queue.offer(new QueueEntry<>(0, "small", small, DISTANT_NANOS, DISTANT_NANOS, index), 0);
            queue.offer(new QueueEntry<>(0, "large", large, DISTANT_NANOS, DISTANT_NANOS, index), 0);
        }
        int dispatches = 900;
        int servedSmall = 0;
        for (int index = 0; index < dispatches; index++) {
            servedSmall += queue.poll(FLOORS, 0).orElseThrow().workspace().equals("small") ? 1 : 0;
        }
        double expected = (double) dispatches * small / (small + large);
        assertThat((double) servedSmall, closeTo(expected, small + large));
    }

    @Example
    void mostUrgentRankIsDispatchedFirst() {
        AdmissionQueue<Integer> queue = AdmissionQueue.create(LARGE_CAPACITY, () -> 0);
        queue.offer(new QueueEntry<>(2, "w", 1, DISTANT_NANOS, DISTANT_NANOS, 2), 0);
        queue.offer(new QueueEntry<>(0, "w", 1, DISTANT_NANOS, DISTANT_NANOS, 0), 0);
        queue.offer(new QueueEntry<>(1, "w", 1, DISTANT_NANOS, DISTANT_NANOS, 1), 0);
        assertThat(queue.poll(FLOORS, 0).map(QueueEntry::rank), equalTo(Optional.of(0)));
        assertThat(queue.poll(FLOORS, 0).map(QueueEntry::rank), equalTo(Optional.of(1)));
    }

    @Example
    void fullQueueDropsNewestEntryOfLargestBacklogInLeastUrgentRank() {
        AdmissionQueue<String> queue = AdmissionQueue.create(new AdmissionQueue.Settings(4, 4), () -> 0);
        queue.offer(new QueueEntry<>(1, "large", 1, DISTANT_NANOS, DISTANT_NANOS, "a"), 0);
        queue.offer(new QueueEntry<>(1, "large", 1, DISTANT_NANOS, DISTANT_NANOS, "b"), 0);
        queue.offer(new QueueEntry<>(1, "large", 1, DISTANT_NANOS, DISTANT_NANOS, "c"), 0);
        queue.offer(new QueueEntry<>(1, "small", 1, DISTANT_NANOS, DISTANT_NANOS, "d"), 0);
        List<Rejection<String>> rejections =
                queue.offer(new QueueEntry<>(0, "small", 1, DISTANT_NANOS, DISTANT_NANOS, "e"), 0);
        assertThat(rejections, hasSize(1));
        assertThat(rejections.get(0).entry().item(), is("c"));
        assertThat(rejections.get(0).code(), is(ResultCode.RANK_SHED));
    }

    @Example
    void unreachableDeadlineIsRefusedWithRetryAfter() {
        AdmissionQueue<Integer> queue = AdmissionQueue.create(LARGE_CAPACITY, () -> 0);
        long gap = Duration.ofMillis(100).toNanos();
        for (int index = 0; index < 40; index++) {
            queue.offer(new QueueEntry<>(0, "w", 1, DISTANT_NANOS, DISTANT_NANOS, index), 0);
        }
        for (int index = 0; index < 20; index++) {
            queue.poll(FLOORS, index * gap);
        }
        long now = 20 * gap;
        List<Rejection<Integer>> rejections = queue.offer(new QueueEntry<>(0, "w", 1, now + gap, now + gap, 99), now);
        assertThat(rejections, hasSize(1));
        assertThat(rejections.get(0).code(), is(ResultCode.DEADLINE_UNREACHABLE));
        assertThat((double) rejections.get(0).retryAfter().toMillis(), closeTo(2000, 100));
        assertThat(queue.offer(new QueueEntry<>(0, "w", 1, now + 30 * gap, now + 30 * gap, 100), now), hasSize(0));
    }

    @Provide
    Arbitrary<List<Step>> histories() {
        Arbitrary<Step> step = Combinators.combine(
                        Arbitraries.integers().between(-1, 2),
                        Arbitraries.of("a", "b", "c"),
                        Arbitraries.longs().between(1, 300))
                .as(Step::new);
        return step.list().ofMaxSize(150);
    }
}
