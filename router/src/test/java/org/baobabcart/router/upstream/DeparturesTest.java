package org.baobabcart.router.upstream;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.baobabcart.policy.departure.PlacementReason;
import org.baobabcart.policy.upstream.UpstreamCandidate;
import org.junit.jupiter.api.Test;

class DeparturesTest {
    private static final Pool POOL = Pool.ofService("tills");
    private static final long TARGET = 150_000_000;
    private static final long STEP = 400_000_000;

    private final List<Boolean> changes = new ArrayList<>();
    private final Departures departures = Departures.create(
            "here",
            new DepartureObserver() {
                @Override
                public void placed(String dataCentre, PlacementReason reason) {}

                @Override
                public void departing(Pool pool, boolean departing) {
                    changes.add(departing);
                }
            },
            () -> 0.5);

    @Test
    void reportsWhenRequestsBeginAndCeaseToLeave() {
        departures.recordRequest(request(SlotRequest.UNKNOWN_GAIN), 0);
        departures.recordResponse(POOL, "here", 20_000_000, 200, 0);
        for (int count = 0; count < 20; count++) {
            departures.recordResponse(POOL, "here", 20_000_000, 500, 0);
        }
        Map<String, List<UpstreamCandidate>> candidates =
                Map.of("here", List.of(candidate(0)), "there", List.of(candidate(0)));
        for (int step = 1; step <= 100; step++) {
            departures.order(request(SlotRequest.UNKNOWN_GAIN), candidates, step * STEP);
        }
        assertThat(changes, contains(true, false));
    }

    @Test
    void dataCentreWithoutFreePlaceIsLeftOut() {
        Map<String, List<UpstreamCandidate>> candidates =
                Map.of("here", List.of(candidate(6)), "there", List.of(candidate(5)));
        assertThat(departures.order(request(SlotRequest.UNKNOWN_GAIN), candidates, 0), contains("there"));
    }

    @Test
    void promptFollowsItsCachedPrefixOnlyIfThatSavesMoreThanTheWay() {
        departures.recordConnection(POOL, "here", 1_000_000, 0);
        departures.recordConnection(POOL, "there", 17_000_000, 0);
        assertThat(departures.isCachedPrefixWorthTheWay(request(15_000_000), "there", 0), is(false));
        assertThat(departures.isCachedPrefixWorthTheWay(request(90_000_000), "there", 0), is(true));
        assertThat(departures.isCachedPrefixWorthTheWay(request(SlotRequest.UNKNOWN_GAIN), "there", 0), is(true));
    }

    private static UpstreamCandidate candidate(int inFlight) {
        return new UpstreamCandidate("upstream", true, inFlight, 6, Optional.empty(), 0, 0);
    }

    private static SlotRequest request(long cachedPrefixGainNanos) {
        return new SlotRequest(
                "request",
                POOL,
                0,
                "workspace",
                1,
                TARGET,
                4 * TARGET,
                4 * TARGET,
                0,
                "",
                Set.of(),
                cachedPrefixGainNanos);
    }
}
