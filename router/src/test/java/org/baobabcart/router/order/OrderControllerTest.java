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
    void holderReachesPlacementsWithOneOrderPerEngine() {
        fleet.setPlacements(2, 2);
        fleet.advance(UNTIL_PLACED_SECONDS);
        assertThat(engines.servingCount("v1"), equalTo(2L));
        assertThat(engines.servingCount("v2"), equalTo(2L));
        assertThat(engines.arrivals.size(), equalTo(2));
        assertThat(fleet.maximumHolders(), equalTo(1));
        assertThat(status().inFlight(), empty());
    }

    @Test
    void sheetWithoutPlacementsCausesNoCalls() {
        fleet.advance(UNTIL_PLACED_SECONDS);
        assertThat(fleet.store.reads() + fleet.store.writes(), equalTo(0));
        assertThat(fleet.hasHolder(), is(false));
        assertThat(engines.sendCount(), equalTo(0));
    }

    @Test
    void idleDataCentreCausesAtMostOneStoreCallPerSecond() {
        fleet.setPlacements(4, 0);
        fleet.advance(UNTIL_PLACED_SECONDS);
        int before = fleet.store.reads() + fleet.store.writes();
        fleet.advance(HOUR_SECONDS);
        assertThat(fleet.store.reads() + fleet.store.writes() - before, lessThanOrEqualTo(HOUR_SECONDS));
    }

    @Test
    void holderResumedAfterLeaseExpirySendsNothing() {
        engines.setLink(FakeEngines.Link.BROKEN);
        fleet.setPlacements(2, 2);
        fleet.advance(UNTIL_SENT_SECONDS);
        OrderFleet.Node first = fleet.holder();
        assertThat(engines.sendCount(), greaterThan(0));
        first.timers().setPaused(true);
        fleet.advance(UNTIL_TAKEN_OVER_SECONDS);
        engines.setLink(FakeEngines.Link.OPEN);
        assertThat(fleet.holder().name(), not(first.name()));
        fleet.advance(2);
        first.timers().setPaused(false);
        fleet.advance(UNTIL_PLACED_SECONDS);
        assertThat(engines.arrivals, not(empty()));
        assertThat(engines.arrivedOutOfOrder(), empty());
        assertThat(engines.arrivals.stream().allMatch(arrival -> arrival.fencing() == 2), is(true));
        assertThat(fleet.maximumHolders(), equalTo(1));
        assertThat(engines.servingCount("v2"), equalTo(2L));
    }

    @Test
    void orderIsNotSentIfLeaseExpiresWhileConnecting() {
        engines.setLink(FakeEngines.Link.DELAYED);
        fleet.setPlacements(2, 2);
        fleet.advance(UNTIL_SENT_SECONDS);
        fleet.holder().timers().setPaused(true);
        engines.setLink(FakeEngines.Link.OPEN);
        fleet.advance(UNTIL_TAKEN_OVER_SECONDS + 2);
        engines.deliverDelayed();
        fleet.advance(UNTIL_PLACED_SECONDS);
        assertThat(engines.arrivedOutOfOrder(), empty());
        assertThat(engines.servingCount("v2"), equalTo(2L));
    }

    @Test
    void firstOrderToUnfencedEngineWaitsForFlightTime() {
        fleet.setPlacements(4, 0);
        fleet.advance(UNTIL_SENT_SECONDS);
        engines.setLink(FakeEngines.Link.BROKEN);
        fleet.setPlacements(0, 4);
        fleet.advance(UNTIL_SENT_SECONDS);
        OrderFleet.Node first = fleet.holder();
        engines.setLink(FakeEngines.Link.OPEN);
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
    void outageSuspendsOrdersAndKeepsServedVersions() {
        fleet.setPlacements(4, 0);
        fleet.advance(UNTIL_SENT_SECONDS);
        fleet.store.setOutage(true);
        fleet.setPlacements(2, 2);
        fleet.advance(UNTIL_PLACED_SECONDS);
        assertThat(engines.sendCount(), equalTo(0));
        assertThat(engines.servingCount("v1"), equalTo(4L));
        assertThat(fleet.hasHolder(), is(false));
        fleet.store.setOutage(false);
        fleet.advance(UNTIL_PLACED_SECONDS);
        assertThat(engines.servingCount("v2"), equalTo(2L));
        assertThat(engines.arrivals.size(), equalTo(2));
    }

    @Test
    void holderCutFromPlatformIsReplacedAndStopsSending() {
        engines.setLink(FakeEngines.Link.BROKEN);
        fleet.setPlacements(2, 2);
        fleet.advance(UNTIL_SENT_SECONDS);
        fleet.holder().store().setDisconnected(true);
        fleet.advance(UNTIL_TAKEN_OVER_SECONDS);
        engines.setLink(FakeEngines.Link.OPEN);
        fleet.advance(UNTIL_PLACED_SECONDS);
        assertThat(engines.arrivedOutOfOrder(), empty());
        assertThat(fleet.maximumHolders(), equalTo(1));
        assertThat(engines.servingCount("v2"), equalTo(2L));
    }

    @Test
    void lostPlatformAnswersDoNotDuplicateOrders() {
        fleet.setPlacements(4, 0);
        fleet.advance(UNTIL_SENT_SECONDS);
        fleet.setPlacements(2, 2);
        fleet.store.setLoseResponses(true);
        fleet.advance(UNTIL_SENT_SECONDS);
        assertThat("orders sent before their journal is stored", engines.sendCount(), equalTo(0));
        fleet.store.setLoseResponses(false);
        fleet.advance(UNTIL_PLACED_SECONDS);
        assertThat(engines.servingCount("v2"), equalTo(2L));
        assertThat(engines.arrivals.size(), equalTo(2));
    }

    @Test
    void ordersAreResentUnderTheirIdAlsoByTheNextHolder() {
        engines.setLink(FakeEngines.Link.LOSES_RESPONSES);
        engines.setLoadTime(Duration.ofSeconds(UNTIL_PLACED_SECONDS));
        fleet.setPlacements(2, 2);
        fleet.advance(2 * UNTIL_SENT_SECONDS);
        assertThat(engines.arrivals.size(), greaterThan(2));
        assertThat(engines.executed(), equalTo(2));
        fleet.holder().timers().setPaused(true);
        fleet.advance(UNTIL_TAKEN_OVER_SECONDS);
        assertThat(fleet.holder().blackboard().read(Sections.ORDERS).inFlight().size(), equalTo(2));
        fleet.advance(2 * UNTIL_PLACED_SECONDS);
        assertThat(engines.executed(), equalTo(2));
        assertThat(engines.servingCount("v2"), equalTo(2L));
    }

    @Test
    void refusedOrdersAreRetriedWithBackoff() {
        engines.setLink(FakeEngines.Link.REFUSES);
        fleet.setPlacements(2, 2);
        fleet.advance(HOUR_SECONDS);
        assertThat(engines.sendCount(), lessThanOrEqualTo(10));
        assertThat(
                status().shortfalls().stream().map(Shortfall::reason).toList(),
                equalTo(List.of(Shortfall.Reason.LOADS_FAILED)));
        engines.setLink(FakeEngines.Link.OPEN);
        fleet.advance(HOUR_SECONDS);
        assertThat(engines.servingCount("v2"), equalTo(2L));
    }

    @Test
    void higherFencingNumberAtEngineDoesNotEndTheLease() {
        engines.setHighestFencing("checking-1", 99);
        fleet.setPlacements(2, 2);
        fleet.advance(2 * UNTIL_PLACED_SECONDS);
        assertThat(engines.servingCount("v2"), equalTo(2L));
        assertThat(status().fencing(), equalTo(1L));
    }

    @Test
    void plannedStopHandsOverLeaseWithinSeconds() {
        fleet.setPlacements(4, 0);
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
