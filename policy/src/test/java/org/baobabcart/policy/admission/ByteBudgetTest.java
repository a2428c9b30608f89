package org.baobabcart.policy.admission;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.baobabcart.policy.admission.ByteBudget.Decision;
import org.baobabcart.policy.admission.ByteBudget.Entry;
import org.junit.jupiter.api.Test;

/** Many large bodies at once used up the memory of a process, because each was counted only when it had been read. */
class ByteBudgetTest {
    private static final long MEBIBYTE = 1024 * 1024;
    private static final long LIMIT = 24 * MEBIBYTE;
    private static final long LARGE = 4_000_000;
    private static final long SMALL = 1_000;
    private static final int STEPS = 200;
    private static final long STALL = 2_000_000_000L;

    private final ByteBudget budget = ByteBudget.of(LIMIT);

    @Test
    void largeBodiesOfManyCallersDoNotExceedTheBudget() {
        List<Decision> decisions = new ArrayList<>();
        for (int index = 0; index < 40; index++) {
            decisions.add(budget.offer(Entry.of(1, "workspace-" + index, LARGE)));
        }
        assertThat(decisions.stream().filter(Decision.GRANTED::equals).count(), is(4L));
        assertThat(budget.waiting(), is(36));
        assertThat(budget.offer(Entry.of(1, "another", SMALL)), is(Decision.GRANTED));
    }

    @Test
    void oneWorkspaceDoesNotGetAll() {
        for (int index = 0; index < 40; index++) {
            budget.offer(Entry.of(0, "large", LARGE));
        }
        assertThat(budget.usedBytes(), lessThanOrEqualTo(LIMIT / 2));
        assertThat(budget.offer(Entry.of(2, "other", LARGE)), is(Decision.GRANTED));
    }

    @Test
    void theMostUrgentBodyIsGrantedFirst() {
        List<Entry> granted = fill();
        Entry late = Entry.of(2, "a", LARGE);
        Entry urgent = Entry.of(0, "b", LARGE);
        Entry next = Entry.of(2, "c", LARGE);
        List.of(late, urgent, next).forEach(budget::offer);
        assertThat(budget.release(granted.get(0)), contains(urgent));
        assertThat(budget.release(granted.get(1)), contains(late));
    }

    @Test
    void smallerBodiesDoNotPassALargeOneForEver() {
        List<Entry> granted = fill();
        Entry large = Entry.of(1, "a", 2 * LARGE);
        Entry smaller = Entry.of(1, "b", LARGE / 4);
        assertThat(budget.offer(large), is(Decision.WAITING));
        assertThat(budget.offer(smaller), is(Decision.WAITING));
        assertThat(budget.release(granted.get(0)), empty());
        assertThat(budget.release(granted.get(1)), contains(large, smaller));
    }

    @Test
    void bodyThatCanNeverFitIsRefused() {
        assertThat(budget.offer(Entry.of(0, "a", LIMIT)), is(Decision.REFUSED));
    }

    @Test
    void bodyThatIsNoLongerWantedDoesNotWait() {
        List<Entry> granted = fill();
        Entry gone = Entry.of(0, "a", LARGE);
        Entry next = Entry.of(0, "b", LARGE);
        budget.offer(gone);
        budget.offer(next);
        assertThat(budget.withdraw(gone), is(true));
        assertThat(budget.release(granted.get(0)), contains(next));
    }

    /** Bodies that stopped short kept the memory until their requests' time was over, and nothing large was read meanwhile. */
    @Test
    void stalledBodiesGiveWayToOneThatWaits() {
        List<Entry> granted = fill();
        granted.forEach(entry -> budget.progressed(entry, 0));
        budget.progressed(granted.get(0), STALL);
        budget.received(granted.get(1));
        Entry waiting = Entry.of(1, "waiting", LARGE);
        assertThat(budget.offer(waiting), is(Decision.WAITING));
        List<Entry> stalled = budget.takeStalled(waiting, STALL, STALL);
        assertThat(stalled.size(), is(1));
        assertThat(granted.subList(2, granted.size()), hasItem(stalled.get(0)));
        assertThat(budget.release(stalled.get(0)), contains(waiting));
    }

    @Test
    void bodiesThatStillArriveOrAreSmallAreNotTurnedAway() {
        List<Entry> granted = fill();
        granted.forEach(entry -> budget.progressed(entry, 1));
        Entry small = Entry.of(1, "small", SMALL);
        assertThat(budget.offer(small), is(Decision.GRANTED));
        budget.progressed(small, 0);
        Entry waiting = Entry.of(1, "waiting", LARGE);
        budget.offer(waiting);
        assertThat(budget.takeStalled(waiting, STALL, STALL), empty());
    }

    @Property(tries = 300, seed = "7315")
    void usedBytesAreThoseOfGrantedBodiesAndNeverAboveTheBudget(@ForAll long seed) {
        Random random = new Random(seed);
        ByteBudget drawn = ByteBudget.of(LIMIT);
        List<Entry> granted = new ArrayList<>();
        List<Entry> waiting = new ArrayList<>();
        for (int step = 0; step < STEPS; step++) {
            int kind = random.nextInt(4);
            if (kind < 2) {
                long bytes = random.nextBoolean() ? random.nextInt(100_000) : random.nextInt((int) LARGE);
                Entry entry = Entry.of(random.nextInt(3), "workspace-" + random.nextInt(4), bytes);
                switch (drawn.offer(entry)) {
                    case GRANTED -> granted.add(entry);
                    case WAITING -> waiting.add(entry);
                    default -> throw new AssertionError("refused");
                }
            } else if (kind == 2 && !granted.isEmpty()) {
                List<Entry> next = drawn.release(granted.remove(random.nextInt(granted.size())));
                granted.addAll(next);
                waiting.removeAll(next);
            } else if (!granted.isEmpty()) {
                Entry entry = granted.get(random.nextInt(granted.size()));
                drawn.tryGrow(entry, entry.bytes() + random.nextInt(200_000));
            }
            check(drawn, granted, waiting);
        }
        while (!granted.isEmpty()) {
            List<Entry> next = drawn.release(granted.remove(0));
            granted.addAll(next);
            waiting.removeAll(next);
        }
        assertThat("all are granted in the end", waiting, empty());
        assertThat(drawn.usedBytes(), is(0L));
    }

    /** Bodies in chunks began as small ones and grew, until none was left of the part for small bodies. */
    @Test
    void bodiesOfUnknownSizeLeaveThePartForSmallOnes() {
        ByteBudget budget = ByteBudget.of(LIMIT);
        List<Entry> granted = new ArrayList<>();
        for (int index = 0; index < 2_000; index++) {
            Entry entry = Entry.ofUnknownSize(1, "crowd-" + index % 4, 16_384);
            if (budget.offer(entry) == Decision.GRANTED) {
                granted.add(entry);
            }
        }
        granted.forEach(entry -> budget.tryGrow(entry, 65_536));
        assertThat(budget.usedBytes(), lessThanOrEqualTo(LIMIT / 4 * 3));
        assertThat(budget.offer(Entry.of(1, "ordinary", 2_000)), is(Decision.GRANTED));
        granted.forEach(budget::release);
    }

    private static void check(ByteBudget budget, List<Entry> granted, List<Entry> waiting) {
        long used = granted.stream().mapToLong(Entry::bytes).sum();
        assertThat(budget.usedBytes(), is(used));
        assertThat(used, lessThanOrEqualTo(LIMIT));
        assertThat(budget.waiting(), is(waiting.size()));
        Map<Entry, Boolean> identities = new HashMap<>();
        granted.forEach(entry -> identities.put(entry, true));
        assertThat(identities.size(), is(granted.size()));
    }

    /** Grants large bodies of different workspaces until no further one fits. */
    private List<Entry> fill() {
        List<Entry> granted = new ArrayList<>();
        for (int index = 0; index < 4; index++) {
            Entry entry = Entry.of(1, "full-" + index, LARGE);
            assertThat(budget.offer(entry), is(Decision.GRANTED));
            granted.add(entry);
        }
        return granted;
    }
}
