package org.baobabcart.router.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.time.Duration;
import org.baobabcart.model.gateway.VersionOrder;
import org.baobabcart.model.platform.StoredObject;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests moves to a new version in simulated fleets whose routers each observe only few of its responses. */
class VersionFleetTest {
    private static final double EXPOSURE = 0.0975;
    private static final long EXPOSURE_TOLERANCE = 30;
    private static final Duration DURATION = Duration.ofSeconds(15);
    private static final double REQUESTS_PER_SECOND = 320;
    private static final double FEW_REQUESTS_PER_SECOND = 41;
    private static final double LOOSE_EXPOSURE = 0.15;
    private static final double WIDE_SPREAD = 1.3;
    private static final int MOVES = 40;

    /**
     * Fleets of 30 routers and more used to complete a move to a version that answered half of its requests eight times slower,
     * since each router observed too few responses.
     */
    @ParameterizedTest
    @CsvSource({"1, 6401", "5, 6402", "37, 6403", "37, 6404", "37, 6405", "150, 6406", "450, 6407"})
    void slowVersionIsWithdrawnWithinTheExposureLimit(int routers, long seed) {
        SimulatedFleet fleet = SimulatedFleet.of(routers, REQUESTS_PER_SECOND, EXPOSURE, seed);
        fleet.order(DURATION, SimulatedVersion.partlySlow(0.5, 8));
        fleet.run(DURATION);
        assertThat(fleet.state(), is(VersionOrder.State.WITHDRAWN));
        assertThat(
                fleet.requestsToTarget(), lessThanOrEqualTo((long) (fleet.requests() * EXPOSURE) + EXPOSURE_TOLERANCE));
    }

    @ParameterizedTest
    @CsvSource({"1, 6411", "5, 6412", "37, 6413", "37, 6414", "37, 6415", "150, 6416", "450, 6417"})
    void moveToAVersionOfTheSameSpeedIsCompletedInTime(int routers, long seed) {
        SimulatedFleet fleet = SimulatedFleet.of(routers, REQUESTS_PER_SECOND, EXPOSURE, seed);
        fleet.order(DURATION, SimulatedVersion.typical());
        fleet.run(DURATION);
        assertThat(fleet.state(), is(VersionOrder.State.COMPLETED));
    }

    /** When a router is lost, so are its evidence and its review. */
    @ParameterizedTest
    @CsvSource({"true, 6421", "true, 6422", "false, 6423", "false, 6424"})
    void anotherRouterTakesOverIfTheReviewerIsLost(boolean isSlow, long seed) {
        SimulatedFleet fleet = SimulatedFleet.of(37, REQUESTS_PER_SECOND, EXPOSURE, seed);
        Duration duration = Duration.ofSeconds(24);
        fleet.order(duration, isSlow ? SimulatedVersion.partlySlow(0.5, 8) : SimulatedVersion.typical());
        fleet.run(duration.multipliedBy(54).dividedBy(100));
        fleet.stopReviewer();
        fleet.run(duration.multipliedBy(46).dividedBy(100));
        assertThat(fleet.state(), is(isSlow ? VersionOrder.State.WITHDRAWN : VersionOrder.State.COMPLETED));
        if (isSlow) {
            assertThat(
                    fleet.requestsToTarget(),
                    lessThanOrEqualTo((long) (fleet.requests() * EXPOSURE) + EXPOSURE_TOLERANCE));
        }
    }

    @ParameterizedTest
    @CsvSource({"true, 6431", "false, 6432"})
    void storeOutageDuringTheTrialDoesNotAdvanceTheMove(boolean isSlow, long seed) {
        SimulatedFleet fleet = SimulatedFleet.of(37, REQUESTS_PER_SECOND, EXPOSURE, seed);
        Duration duration = Duration.ofSeconds(24);
        fleet.order(duration, isSlow ? SimulatedVersion.partlySlow(0.5, 8) : SimulatedVersion.typical());
        fleet.run(duration.multipliedBy(53).dividedBy(100));
        fleet.store().setOutage(true);
        fleet.run(Duration.ofSeconds(3));
        long requestsToTarget = fleet.requestsToTarget();
        assertThat(requestsToTarget, lessThanOrEqualTo((long) (fleet.requests() * EXPOSURE)));
        fleet.store().setOutage(false);
        fleet.run(duration.multipliedBy(47).dividedBy(100).minusSeconds(3));
        assertThat(fleet.state(), is(isSlow ? VersionOrder.State.WITHDRAWN : VersionOrder.State.COMPLETED));
    }

    /** Otherwise reports of routers that no longer run would accumulate in the store. */
    @ParameterizedTest
    @CsvSource({"5, 6441"})
    void reportsOnEarlierOrdersAreRemoved(int routers, long seed) {
        SimulatedFleet fleet = SimulatedFleet.of(routers, REQUESTS_PER_SECOND, EXPOSURE, seed);
        fleet.store()
                .create(StoredObject.create(
                        EvidenceReport.KIND,
                        EvidenceReport.name(TestOrderCodec.SERVICE, "router-of-last-year"),
                        JsonNodeFactory.instance.objectNode().put("order", "service/v1/long ago")))
                .await()
                .indefinitely();
        fleet.order(DURATION, SimulatedVersion.typical());
        fleet.run(DURATION);
        assertThat(fleet.store().list(EvidenceReport.KIND).await().indefinitely(), hasSize(routers));
    }

    /** Otherwise the reviewer would keep reading reports. */
    @Test
    void reportsAreNoLongerReadAfterTheOrderIsDeleted() {
        SimulatedFleet fleet = SimulatedFleet.of(5, REQUESTS_PER_SECOND, EXPOSURE, 6451);
        int watchesOfOrders = fleet.store().watches();
        fleet.order(DURATION, SimulatedVersion.typical());
        fleet.run(DURATION.multipliedBy(6).dividedBy(10));
        assertThat(fleet.store().watches(), greaterThan(watchesOfOrders));
        fleet.store()
                .delete(fleet.store()
                        .read(TestOrderCodec.KIND, TestOrderCodec.SERVICE)
                        .await()
                        .indefinitely())
                .await()
                .indefinitely();
        fleet.run(Duration.ofSeconds(1));
        assertThat(fleet.store().watches(), is(watchesOfOrders));
    }

    /** About 45 responses of the target are known at the time of the decision, with times between 20 and 2,000 ms. */
    @Test
    void slowVersionOfAServiceWithFewRequestsIsRarelyKept() {
        SimulatedVersion slow = SimulatedVersion.partlySlow(0.5, 8).withSpread(WIDE_SPREAD);
        assertThat(countCompleted(slow, 6500), lessThanOrEqualTo(2));
        assertThat(
                countCompleted(SimulatedVersion.typical().withSpread(WIDE_SPREAD), 6600),
                greaterThanOrEqualTo(MOVES - 4));
    }

    private static int countCompleted(SimulatedVersion version, long firstSeed) {
        int completed = 0;
        for (int move = 0; move < MOVES; move++) {
            SimulatedFleet fleet = SimulatedFleet.of(5, FEW_REQUESTS_PER_SECOND, LOOSE_EXPOSURE, firstSeed + move);
            fleet.order(DURATION, version);
            fleet.run(DURATION);
            completed += fleet.state() == VersionOrder.State.COMPLETED ? 1 : 0;
        }
        return completed;
    }
}
