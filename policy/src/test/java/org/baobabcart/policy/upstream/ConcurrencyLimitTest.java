package org.baobabcart.policy.upstream;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class ConcurrencyLimitTest {
    private static final int SLOTS = 8;

    @Test
    void waitingRequestsWithFreeSlotsAreNotCongestion() {
        ConcurrencyLimit limit = ConcurrencyLimit.initial();
        ConcurrencyLimit next = limit.withReport(new LoadReport(1, 3, SLOTS), limit.maximumInFlight());
        assertThat(next.limit(), is(greaterThan(limit.limit())));
    }

    @Test
    void waitingRequestsWithoutFreeSlotsAreCongestion() {
        ConcurrencyLimit limit = ConcurrencyLimit.initial();
        ConcurrencyLimit next = limit.withReport(new LoadReport(SLOTS, 1, SLOTS), limit.maximumInFlight());
        assertThat(next.limit(), is(lessThan(limit.limit())));
    }

    /** A burst that fits the slots of an engine is admitted completely, in whatever order its responses start. */
    @Property(seed = "5201")
    void singleRouterReachesTheSlotsOfItsEngine(@ForAll @IntRange(min = 0, max = SLOTS) int admittedAtOnce) {
        ConcurrencyLimit limit = ConcurrencyLimit.initial();
        for (int answer = 0; answer < SLOTS; answer++) {
            int present = limit.maximumInFlight();
            int running = Math.min(admittedAtOnce, present);
            limit = limit.withReport(new LoadReport(running, present - running, SLOTS), present);
        }
        assertThat(limit.maximumInFlight(), is(SLOTS));
    }
}
