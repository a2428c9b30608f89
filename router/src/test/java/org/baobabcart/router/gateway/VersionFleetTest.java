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

/** A fleet whose routers each see few answers of a new version, in driven time. */
class VersionFleetTest {
    private static final double EXPOSURE = 0.0975;
    private static final long EXPOSURE_SLACK = 30;
    private static final Duration LENGTH = Duration.ofSeconds(15);
    private static final double REQUESTS_PER_SECOND = 320;
    private static final double FEW_REQUESTS_PER_SECOND = 41;
    private static final double LOOSE_EXPOSURE = 0.15;
    private static final double WIDE_SPREAD = 1.3;
    private static final int MOVES = 40;

    /** A roll-out to a version that answered half of its requests eight times slower was completed by fleets of 30 routers and more. */
    @ParameterizedTest
    @CsvSource({"1, 6401", "5, 6402", "37, 6403", "37, 6404", "37, 6405", "150, 6406", "450, 6407"})
    void aSlowVersionIsWithdrawnBeforeItsExposureIsUsedUp(int routers, long seed) {
        SimulatedFleet fleet = SimulatedFleet.of(routers, REQUESTS_PER_SECOND, EXPOSURE, seed);
        fleet.order(LENGTH, SimulatedVersion.partlySlow(0.5, 8));
        fleet.run(LENGTH);
        assertThat(fleet.state(), is(VersionOrder.State.WITHDRAWN));
        assertThat(fleet.exposed(), lessThanOrEqualTo((long) (fleet.requests() * EXPOSURE) + EXPOSURE_SLACK));
    }

    @ParameterizedTest
    @CsvSource({"1, 6411", "5, 6412", "37, 6413", "37, 6414", "37, 6415", "150, 6416", "450, 6417"})
    void aVersionOfTheSameSpeedIsCompletedInTime(int routers, long seed) {
        SimulatedFleet fleet = SimulatedFleet.of(routers, REQUESTS_PER_SECOND, EXPOSURE, seed);
        fleet.order(LENGTH, SimulatedVersion.usual());
        fleet.run(LENGTH);
        assertThat(fleet.state(), is(VersionOrder.State.COMPLETED));
    }

    /** A router's evidence is lost with it, and so is its review. */
    @ParameterizedTest
    @CsvSource({"true, 6421", "true, 6422", "false, 6423", "false, 6424"})
    void anotherRouterTakesOverWhereTheReviewerIsLost(boolean isSlow, long seed) {
        SimulatedFleet fleet = SimulatedFleet.of(37, REQUESTS_PER_SECOND, EXPOSURE, seed);
        Duration length = Duration.ofSeconds(24);
        fleet.order(length, isSlow ? SimulatedVersion.partlySlow(0.5, 8) : SimulatedVersion.usual());
        fleet.run(length.multipliedBy(54).dividedBy(100));
        fleet.loseReviewer();
        fleet.run(length.multipliedBy(46).dividedBy(100));
        assertThat(fleet.state(), is(isSlow ? VersionOrder.State.WITHDRAWN : VersionOrder.State.COMPLETED));
        if (isSlow) {
            assertThat(fleet.exposed(), lessThanOrEqualTo((long) (fleet.requests() * EXPOSURE) + EXPOSURE_SLACK));
        }
    }

    @ParameterizedTest
    @CsvSource({"true, 6431", "false, 6432"})
    void anOutageOfTheStoreInMidTrialMovesNothingOnByItself(boolean isSlow, long seed) {
        SimulatedFleet fleet = SimulatedFleet.of(37, REQUESTS_PER_SECOND, EXPOSURE, seed);
        Duration length = Duration.ofSeconds(24);
        fleet.order(length, isSlow ? SimulatedVersion.partlySlow(0.5, 8) : SimulatedVersion.usual());
        fleet.run(length.multipliedBy(53).dividedBy(100));
        fleet.store().setOutage(true);
        fleet.run(Duration.ofSeconds(3));
        long exposed = fleet.exposed();
        assertThat(exposed, lessThanOrEqualTo((long) (fleet.requests() * EXPOSURE)));
        fleet.store().setOutage(false);
        fleet.run(length.multipliedBy(47).dividedBy(100).minusSeconds(3));
        assertThat(fleet.state(), is(isSlow ? VersionOrder.State.WITHDRAWN : VersionOrder.State.COMPLETED));
    }

    /** Reports of routers that are gone for good would pile up in the store. */
    @ParameterizedTest
    @CsvSource({"5, 6441"})
    void reportsOnEarlierOrdersAreRemoved(int routers, long seed) {
        SimulatedFleet fleet = SimulatedFleet.of(routers, REQUESTS_PER_SECOND, EXPOSURE, seed);
        fleet.store()
                .create(StoredObject.fresh(
                        EvidenceReport.KIND,
                        EvidenceReport.name(TestOrderCodec.SERVICE, "router-of-last-year"),
                        JsonNodeFactory.instance.objectNode().put("order", "service/v1/long ago")))
                .await()
                .indefinitely();
        fleet.order(LENGTH, SimulatedVersion.usual());
        fleet.run(LENGTH);
        assertThat(fleet.store().list(EvidenceReport.KIND).await().indefinitely(), hasSize(routers));
    }

    /** The reviewer would read reports for ever. */
    @Test
    void nobodyReadsReportsOnAnOrderThatTheOperatorHasTakenBack() {
        SimulatedFleet fleet = SimulatedFleet.of(5, REQUESTS_PER_SECOND, EXPOSURE, 6451);
        int watchesOfOrders = fleet.store().watches();
        fleet.order(LENGTH, SimulatedVersion.usual());
        fleet.run(LENGTH.multipliedBy(6).dividedBy(10));
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

    /** Some 45 answers of the target by the time of the decision, whose times spread from 20 to 2,000 ms. */
    @Test
    void aSlowVersionOfAServiceWithFewRequestsIsHardlyEverKept() {
        SimulatedVersion slow = SimulatedVersion.partlySlow(0.5, 8).withSpread(WIDE_SPREAD);
        assertThat(kept(slow, 6500), lessThanOrEqualTo(2));
        assertThat(kept(SimulatedVersion.usual().withSpread(WIDE_SPREAD), 6600), greaterThanOrEqualTo(MOVES - 4));
    }

    private static int kept(SimulatedVersion version, long firstSeed) {
        int kept = 0;
        for (int move = 0; move < MOVES; move++) {
            SimulatedFleet fleet = SimulatedFleet.of(5, FEW_REQUESTS_PER_SECOND, LOOSE_EXPOSURE, firstSeed + move);
            fleet.order(LENGTH, version);
            fleet.run(LENGTH);
            kept += fleet.state() == VersionOrder.State.COMPLETED ? 1 : 0;
        }
        return kept;
    }
}
