package org.baobabcart.router.order;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;

import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import org.baobabcart.policy.lease.LeaseTerms;
import org.baobabcart.policy.placement.Shortfall;
import org.baobabcart.router.control.Sections;
import org.junit.jupiter.api.Test;

class OrderControllerTest {
    private static final int UNTIL_SENT_SECONDS = 10;
    private static final int UNTIL_TAKEN_OVER_SECONDS = 16;
    private static final int UNTIL_PLACED_SECONDS = 60;
    private static final int HOUR_SECONDS = 3600;

    private final OrderFleet fleet = new OrderFleet(3);
    private final FakeEngines engines = fleet.engines;

    @Test
    void oneHolderPutsTheWantedPlacementsInForceByOneOrderAnEngine() {
        fleet.want(2, 2);
        fleet.advance(UNTIL_PLACED_SECONDS);
        assertThat(engines.serving("v1"), equalTo(2L));
        assertThat(engines.serving("v2"), equalTo(2L));
        assertThat(engines.arrivals.size(), equalTo(2));
        assertThat(fleet.largestNumberOfHolders(), equalTo(1));
        assertThat(status().inFlight(), empty());
    }

    @Test
    void aSheetWithoutPlacementsCostsNoCallAndMovesNothing() {
        fleet.advance(UNTIL_PLACED_SECONDS);
        assertThat(fleet.store.reads() + fleet.store.writes(), equalTo(0));
        assertThat(fleet.hasHolder(), is(false));
        assertThat(engines.attempts(), equalTo(0));
    }

    @Test
    void renewalsAndReadsOfAnIdleDataCentreStayBelowOneASecond() {
        fleet.want(4, 0);
        fleet.advance(UNTIL_PLACED_SECONDS);
        int before = fleet.store.reads() + fleet.store.writes();
        fleet.advance(HOUR_SECONDS);
        assertThat(fleet.store.reads() + fleet.store.writes() - before, lessThanOrEqualTo(HOUR_SECONDS));
    }

    @Test
    void aHolderThatWakesAfterItsLeaseSendsNothingMore() {
        engines.setWay(FakeEngines.Way.BROKEN);
        fleet.want(2, 2);
        fleet.advance(UNTIL_SENT_SECONDS);
        OrderFleet.Node first = fleet.holder();
        assertThat(engines.attempts(), greaterThan(0));
        first.timers().setPaused(true);
        fleet.advance(UNTIL_TAKEN_OVER_SECONDS);
        engines.setWay(FakeEngines.Way.OPEN);
        assertThat(fleet.holder().name(), not(first.name()));
        fleet.advance(2);
        first.timers().setPaused(false);
        fleet.advance(UNTIL_PLACED_SECONDS);
        assertThat(engines.arrivals, not(empty()));
        assertThat(engines.outOfOrder(), empty());
        assertThat(engines.arrivals.stream().allMatch(arrival -> arrival.fencing() == 2), is(true));
        assertThat(fleet.largestNumberOfHolders(), equalTo(1));
        assertThat(engines.serving("v2"), equalTo(2L));
    }

    @Test
    void anOrderWhoseConnectionOpensAfterTheLeaseIsNotSent() {
        engines.setWay(FakeEngines.Way.HELD);
        fleet.want(2, 2);
        fleet.advance(UNTIL_SENT_SECONDS);
        fleet.holder().timers().setPaused(true);
        engines.setWay(FakeEngines.Way.OPEN);
        fleet.advance(UNTIL_TAKEN_OVER_SECONDS + 2);
        engines.releaseHeld();
        fleet.advance(UNTIL_PLACED_SECONDS);
        assertThat(engines.outOfOrder(), empty());
        assertThat(engines.serving("v2"), equalTo(2L));
    }

    @Test
    void theFirstOrderToAnEngineThatMayIgnoreFencingWaitsOutTheFlightTime() {
        fleet.want(4, 0);
        fleet.advance(UNTIL_SENT_SECONDS);
        engines.setWay(FakeEngines.Way.BROKEN);
        fleet.want(0, 4);
        fleet.advance(UNTIL_SENT_SECONDS);
        OrderFleet.Node first = fleet.holder();
        engines.setWay(FakeEngines.Way.OPEN);
        first.timers().setPaused(true);
        for (int second = 0; second < UNTIL_TAKEN_OVER_SECONDS && !hasNextHolder(first); second++) {
            fleet.advance(1);
        }
        long takenAt = fleet.timers.nanoTime();
        fleet.advance(UNTIL_PLACED_SECONDS);
        long firstUnfenced = engines.arrivals.stream()
                .filter(arrival -> arrival.engine().startsWith("ignoring"))
                .filter(arrival -> arrival.fencing() == 2)
                .map(FakeEngines.Arrival::atNanos)
                .min(Comparator.naturalOrder())
                .orElseThrow();
        long flight = LeaseTerms.defaults().maximumOrderDelay().toNanos();
        assertThat(firstUnfenced - takenAt, greaterThanOrEqualTo(flight));
    }

    @Test
    void whileThePlatformIsAwayNothingIsOrderedAndEnginesKeepWhatTheyServe() {
        fleet.want(4, 0);
        fleet.advance(UNTIL_SENT_SECONDS);
        fleet.store.setOutage(true);
        fleet.want(2, 2);
        fleet.advance(UNTIL_PLACED_SECONDS);
        assertThat(engines.attempts(), equalTo(0));
        assertThat(engines.serving("v1"), equalTo(4L));
        assertThat(fleet.hasHolder(), is(false));
        fleet.store.setOutage(false);
        fleet.advance(UNTIL_PLACED_SECONDS);
        assertThat(engines.serving("v2"), equalTo(2L));
        assertThat(engines.arrivals.size(), equalTo(2));
    }

    @Test
    void aHolderCutFromThePlatformIsReplacedAndSendsNothingAfterItsLease() {
        engines.setWay(FakeEngines.Way.BROKEN);
        fleet.want(2, 2);
        fleet.advance(UNTIL_SENT_SECONDS);
        fleet.holder().store().setCut(true);
        fleet.advance(UNTIL_TAKEN_OVER_SECONDS);
        engines.setWay(FakeEngines.Way.OPEN);
        fleet.advance(UNTIL_PLACED_SECONDS);
        assertThat(engines.outOfOrder(), empty());
        assertThat(fleet.largestNumberOfHolders(), equalTo(1));
        assertThat(engines.serving("v2"), equalTo(2L));
    }

    @Test
    void answersOfThePlatformThatAreLostAfterTheWriteDoubleNoOrder() {
        fleet.want(4, 0);
        fleet.advance(UNTIL_SENT_SECONDS);
        fleet.want(2, 2);
        fleet.store.setLoseAnswers(true);
        fleet.advance(UNTIL_SENT_SECONDS);
        assertThat("orders before their journal surely stands", engines.attempts(), equalTo(0));
        fleet.store.setLoseAnswers(false);
        fleet.advance(UNTIL_PLACED_SECONDS);
        assertThat(engines.serving("v2"), equalTo(2L));
        assertThat(engines.arrivals.size(), equalTo(2));
    }

    @Test
    void anOrderIsRepeatedUnderItsIdAndTheNextHolderRepeatsThoseOfOneThatDied() {
        engines.setWay(FakeEngines.Way.LOSES_ANSWERS);
        engines.setLoadTime(Duration.ofSeconds(UNTIL_PLACED_SECONDS));
        fleet.want(2, 2);
        fleet.advance(2 * UNTIL_SENT_SECONDS);
        assertThat(engines.arrivals.size(), greaterThan(2));
        assertThat(engines.obeyed(), equalTo(2));
        fleet.holder().timers().setPaused(true);
        fleet.advance(UNTIL_TAKEN_OVER_SECONDS);
        assertThat(fleet.holder().blackboard().read(Sections.ORDERS).inFlight().size(), equalTo(2));
        fleet.advance(2 * UNTIL_PLACED_SECONDS);
        assertThat(engines.obeyed(), equalTo(2));
        assertThat(engines.serving("v2"), equalTo(2L));
    }

    @Test
    void enginesThatRefuseAreAskedAgainAtGrowingPauses() {
        engines.setWay(FakeEngines.Way.REFUSES);
        fleet.want(2, 2);
        fleet.advance(HOUR_SECONDS);
        assertThat(engines.attempts(), lessThanOrEqualTo(10));
        assertThat(
                status().shortfalls().stream().map(Shortfall::reason).toList(),
                equalTo(List.of(Shortfall.Reason.LOADS_FAILED)));
        engines.setWay(FakeEngines.Way.OPEN);
        fleet.advance(HOUR_SECONDS);
        assertThat(engines.serving("v2"), equalTo(2L));
    }

    @Test
    void anEngineThatHasSeenAGreaterNumberCostsALookAtTheLeaseAndNoMore() {
        engines.haveSeen("checking-1", 99);
        fleet.want(2, 2);
        fleet.advance(2 * UNTIL_PLACED_SECONDS);
        assertThat(engines.serving("v2"), equalTo(2L));
        assertThat(status().fencing(), equalTo(1L));
    }

    @Test
    void aPlannedStopHandsTheLeaseOverWithinSeconds() {
        fleet.want(4, 0);
        fleet.advance(UNTIL_SENT_SECONDS);
        OrderFleet.Node first = fleet.holder();
        first.blackboard().write(Sections.STOPPING, true);
        fleet.advance(4);
        assertThat(fleet.holder().name(), not(first.name()));
    }

    private boolean hasNextHolder(OrderFleet.Node first) {
        return fleet.hasHolder() && fleet.holder() != first;
    }

    private OrderStatus status() {
        return fleet.holder().blackboard().read(Sections.ORDERS);
    }
}
