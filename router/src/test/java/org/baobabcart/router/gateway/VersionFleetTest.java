package org.baobabcart.router.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.time.Duration;
import org.baobabcart.model.gateway.VersionOrder;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** A fleet whose routers each see few answers of a new version, in driven time. */
class VersionFleetTest {
    private static final double EXPOSURE = 0.0975;
    private static final long EXPOSURE_SLACK = 30;
    private static final Duration LENGTH = Duration.ofSeconds(15);
    private static final double REQUESTS_PER_SECOND = 320;

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
}
