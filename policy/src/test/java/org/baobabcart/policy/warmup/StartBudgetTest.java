package org.baobabcart.policy.warmup;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class StartBudgetTest {
    private static final double RATE = 8.8;
    private static final double BOUND = 18.2;
    private static final String UPSTREAM = "engine-7";

    @Property(tries = 500, seed = "7711")
    void twoGroupsOfOwnersKeepTheBound(
            @ForAll @DoubleRange(min = 0, max = 1000) double rate,
            @ForAll @DoubleRange(min = 0, max = 2000) double bound) {
        StartBudget budget = StartBudget.of(rate, bound);
        int groups = bound < 2 ? 1 : 2;
        assertThat((double) groups * budget.owners() * budget.maxPerWindow(), lessThanOrEqualTo(bound));
    }

    @Test
    void ownersMayUseTheWholeRateTogether() {
        StartBudget budget = StartBudget.of(RATE, BOUND);
        assertThat(budget.owners() * budget.maxPerWindow() >= RATE, is(true));
    }

    @Property(tries = 200, seed = "7712")
    void routersOfTheDataCentreAreOwnersFirst(@ForAll @IntRange(min = 3, max = 300) int count) {
        StartBudget budget = StartBudget.of(RATE, BOUND);
        List<StartBudget.Router> routers = routers(count, 3);
        List<StartBudget.Router> owners = owners(budget, routers, "zone-1");
        int local = (int) routers.stream()
                .filter(router -> router.dataCentre().equals("zone-1"))
                .count();
        assertThat(owners.size(), is(budget.owners()));
        assertThat(
                owners.stream()
                        .filter(owner -> owner.dataCentre().equals("zone-1"))
                        .count(),
                is((long) Math.min(local, budget.owners())));
    }

    /** Each view holds all routers that act by it, since each of them was registered before the others read the registrations. */
    @Property(tries = 300, seed = "7713")
    void differingViewsThatHoldAllActiveRoutersMakeNoMoreOwners(
            @ForAll @IntRange(min = 1, max = 300) int count, @ForAll long seed) {
        StartBudget budget = StartBudget.of(RATE, BOUND);
        Random random = new Random(seed);
        List<StartBudget.Router> active = routers(count, 3);
        List<StartBudget.Router> owners = active.stream()
                .filter(router -> {
                    List<StartBudget.Router> view = new ArrayList<>(active);
                    IntStream.range(0, random.nextInt(20))
                            .mapToObj(index ->
                                    new StartBudget.Router("late-" + random.nextInt(40), "zone-" + random.nextInt(3)))
                            .forEach(view::add);
                    return budget.isOwner(UPSTREAM, "zone-0", router, view);
                })
                .toList();
        assertThat(owners.size(), lessThanOrEqualTo(budget.owners()));
    }

    @Property(tries = 300, seed = "7714")
    void everySlidingSecondOfTwoDisjointViewsKeepsTheBound(
            @ForAll @IntRange(min = 2, max = 300) int count, @ForAll long seed) {
        StartBudget budget = StartBudget.of(RATE, BOUND);
        Random random = new Random(seed);
        List<StartBudget.Router> routers = routers(count, 3);
        int split = random.nextInt(count + 1);
        List<StartBudget.Router> owners = new ArrayList<>(owners(budget, routers.subList(0, split), "zone-0"));
        owners.addAll(owners(budget, routers.subList(split, count), "zone-0"));
        List<StartPace> paces =
                owners.stream().map(owner -> StartPace.create(budget, 0)).toList();
        List<Long> sent = new ArrayList<>();
        List<Grant> granted = new ArrayList<>();
        for (int millis = 0; millis < 5_000; millis++) {
            long now = Duration.ofMillis(millis).toNanos();
            // A paused router uses its slots after it wakes, all at once.
            boolean isPause = millis / 400 % 3 == 1;
            for (int index = 0; index < paces.size(); index++) {
                if (random.nextInt(10) == 0 && paces.get(index).tryTake(now)) {
                    granted.add(new Grant(index, now));
                }
            }
            if (!isPause || random.nextInt(50) == 0) {
                granted.forEach(grant -> {
                    if (paces.get(grant.owner()).confirm(grant.nanos(), now)) {
                        sent.add(now);
                    }
                });
                granted.clear();
            }
        }
        assertThat((double) mostInWindow(sent), lessThanOrEqualTo(BOUND));
    }

    private record Grant(int owner, long nanos) {}

    @Test
    void waitingWorkUsesTheRate() {
        StartBudget budget = StartBudget.of(RATE, BOUND);
        StartPace pace = StartPace.create(budget, 0);
        long sent = IntStream.range(0, 10_000)
                .filter(millis -> pace.tryTake(Duration.ofMillis(millis).toNanos()))
                .count();
        assertThat((double) sent, greaterThan(0.95 * 10 * RATE / budget.owners()));
        assertThat((double) sent, lessThan(10 * RATE / budget.owners() + budget.maxPerWindow()));
    }

    @Test
    void nothingIsSentWithoutTolerance() {
        StartPace pace = StartPace.create(StartBudget.of(0.2, 0.5), 0);
        assertThat(pace.tryTake(0), is(false));
    }

    private static List<StartBudget.Router> owners(
            StartBudget budget, List<StartBudget.Router> members, String dataCentre) {
        return members.stream()
                .filter(router -> budget.isOwner(UPSTREAM, dataCentre, router, members))
                .toList();
    }

    private static List<StartBudget.Router> routers(int count, int dataCentres) {
        return IntStream.range(0, count)
                .mapToObj(index -> new StartBudget.Router("router-" + index, "zone-" + index % dataCentres))
                .toList();
    }

    private static int mostInWindow(List<Long> sent) {
        int most = 0;
        int first = 0;
        for (int last = 0; last < sent.size(); last++) {
            while (sent.get(last) - sent.get(first) >= StartPace.WINDOW.toNanos()) {
                first++;
            }
            most = Math.max(most, last - first + 1);
        }
        return most;
    }
}
