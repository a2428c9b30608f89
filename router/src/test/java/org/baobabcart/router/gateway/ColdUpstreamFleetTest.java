package org.baobabcart.router.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.time.Duration;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Replays the return of a cold data centre beside a burst, part of which is on one subject. */
class ColdUpstreamFleetTest {
    private static final double BOUND = ColdZone.TOLERANCE.maxPerSecond(ColdZone.WARM_UP.requestsPerSecond());
    private static final double BORNE_PER_SECOND = ColdZone.ENGINES * ColdZone.WARM_UP.requestsPerSecond();
    private static final double BURST = 2 * BORNE_PER_SECOND;
    private static final double MIN_USED_SHARE = 0.6;
    private static final Duration SETTLED = ColdUpstreamController.SETTLING.plusSeconds(3);
    private static final Duration COLD = ColdZone.WARM_UP.duration();
    /** By when each router has learned that the engines are cold. */
    private static final Duration TOLD = Duration.ofMillis(500);

    @ParameterizedTest
    @ValueSource(ints = {4, 29, 63, 300})
    void burstMeetsAColdDataCentre(int routers) {
        ColdZone unbudgeted = replay(routers, false);
        ColdZone budgeted = replay(routers, true);
        double used = budgeted.arrived() / (BORNE_PER_SECOND * COLD.minus(TOLD).toMillis() / 1000.0);
        System.out.printf(
                "cold upstreams: %d routers, allowed %.1f in any second: %d without a budget, %d with it, %.2f of the rate used%n",
                routers, BOUND, unbudgeted.mostInAnySecond(), budgeted.mostInAnySecond(), used);
        assertThat((double) unbudgeted.mostInAnySecond(), greaterThan(BOUND));
        assertThat((double) budgeted.mostInAnySecond(), lessThanOrEqualTo(BOUND));
        assertThat(used, greaterThanOrEqualTo(MIN_USED_SHARE));
    }

    private static ColdZone replay(int routers, boolean isBudgeted) {
        ColdZone zone = new ColdZone(routers, isBudgeted, 4711);
        zone.run(SETTLED, 0);
        zone.returnCold();
        zone.run(TOLD, 0);
        zone.run(COLD.minus(TOLD), BURST);
        return zone;
    }

    @ParameterizedTest
    @ValueSource(ints = {4, 29, 63, 300})
    void nothingIsSentByRoutersThatHaveJustStarted(int routers) {
        ColdZone zone = new ColdZone(routers, true, 4712);
        zone.run(Duration.ofSeconds(1), 0);
        zone.returnCold();
        zone.run(TOLD, 0);
        zone.run(COLD.minus(TOLD), BURST);
        assertThat(zone.arrived(), is(0));
    }

    @Test
    void routersWithoutNewsSendNothing() {
        ColdZone zone = new ColdZone(29, true, 4713);
        zone.run(SETTLED, 0);
        zone.routers().forEach(router -> router.setCutOff(true));
        zone.run(ColdUpstreamController.MAX_NEWS_AGE, 0);
        zone.returnCold();
        zone.run(TOLD, 0);
        zone.run(COLD.minus(TOLD), BURST);
        assertThat(zone.arrived(), is(0));
    }

    /** Freezes with slots granted, routers without news, and registrations that are removed while their routers still act. */
    @Property(tries = 40, seed = "7715")
    void boundHoldsWhateverRoutersKnow(@ForAll @IntRange(min = 0, max = 3) int size, @ForAll long seed) {
        int count = List.of(4, 29, 63, 300).get(size);
        Random random = new Random(seed);
        ColdZone zone = new ColdZone(count, true, seed);
        zone.run(SETTLED, 0);
        pick(zone, random).setCutOff(true);
        zone.run(Duration.ofSeconds(random.nextInt(8)), 0);
        zone.removeRegistration(pick(zone, random));
        zone.returnCold();
        zone.run(TOLD, 0);
        for (int round = 0; round < 5; round++) {
            ColdZone.Router frozen = pick(zone, random);
            frozen.setFrozen(true);
            pick(zone, random).setCutOff(random.nextBoolean());
            zone.run(Duration.ofMillis(250 + random.nextInt(500)), BURST);
            frozen.setFrozen(false);
            zone.run(Duration.ofMillis(10 + random.nextInt(200)), BURST);
        }
        assertThat((double) zone.mostInAnySecond(), lessThanOrEqualTo(BOUND));
    }

    private static ColdZone.Router pick(ColdZone zone, Random random) {
        return zone.routers().get(random.nextInt(zone.routers().size()));
    }
}
