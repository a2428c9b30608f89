package org.baobabcart.policy.departure;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class PoolDeparturesTest {
    private static final double TARGET = 150e6;
    private static final double USUAL = 20e6;
    private static final long STEP = 100_000_000;

    private final PoolDepartures departures = PoolDepartures.create(0);
    private long now;

    @BeforeEach
    void answerAsUsual() {
        departures.observeTarget(TARGET);
        for (int count = 0; count < 20; count++) {
            departures.observeAnswer("here", USUAL, now);
        }
    }

    @Test
    void staysInTheOnlyDataCentre() {
        fail(50);
        assertThat(order("here"), contains("here"));
        assertThat(departures.share().isDeparting(), is(false));
    }

    @Test
    void leavesAtOnceIfNothingLocalIsUsable() {
        assertThat(order("there"), contains("there"));
    }

    @Test
    void returnsStepByStepAfterNothingLocalWasUsable() {
        for (int count = 0; count < 30; count++) {
            order("there");
        }
        assertThat(departures.share().value(), is(1.0));
        order("here", "there");
        assertThat(departures.share().value(), closeTo(1 - 0.025, 1e-9));
    }

    @Test
    void hasNoOrderWithoutDataCentres() {
        assertThat(order(), empty());
    }

    @Test
    void leavesFailingDataCentreAndReturnsOnceObservationsAreStale() {
        fail(20);
        for (int count = 0; count < 5; count++) {
            order("here", "there");
        }
        assertThat(departures.share().value(), greaterThan(0.4));
        for (int count = 0; count < 300; count++) {
            order("here", "there");
        }
        assertThat(departures.share().value(), is(0.0));
    }

    @Test
    void oneFailureIsNoReasonToLeave() {
        fail(1);
        order("here", "there");
        assertThat(departures.share().isDeparting(), is(false));
    }

    @Test
    void slowDataCentreElsewhereIsPassedOver() {
        for (int count = 0; count < 20; count++) {
            departures.observeFailure("there", now);
        }
        assertThat(order("there", "yonder"), contains("yonder", "there"));
    }

    @Test
    void unknownDataCentreIsExpectedToBeAsUsualPlusTheWay() {
        departures.observeConnect("here", 1e6);
        departures.observeConnect("there", 3e6);
        assertThat(departures.extraWayNanos("there", "here"), is(2e6));
        assertThat(departures.outlook("there", "here", 1, now).expectedNanos(), is(USUAL + 2e6));
        assertThat(departures.extraWayNanos("yonder", "here"), is(0.0));
    }

    @Test
    void slowStartIsNotTakenForUsualElsewhere() {
        PoolDepartures slow = PoolDepartures.create(0);
        slow.observeTarget(TARGET);
        for (int count = 0; count < 20; count++) {
            slow.observeAnswer("here", 2 * TARGET, now);
        }
        assertThat(slow.outlook("there", "here", 1, now).expectedNanos(), lessThan(TARGET * 0.51));
    }

    private void fail(int count) {
        for (int index = 0; index < count; index++) {
            departures.observeFailure("here", now);
        }
    }

    private List<String> order(String... dataCentres) {
        now += STEP;
        List<DataCentreOutlook> outlooks = Arrays.stream(dataCentres)
                .map(dataCentre -> departures.outlook(dataCentre, "here", 6, now))
                .toList();
        return departures.order(outlooks, now, () -> 0.5);
    }
}
