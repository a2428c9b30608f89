package org.baobabcart.integration.cut;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.not;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.baobabcart.integration.support.Await;
import org.baobabcart.integration.support.CallerResponse;
import org.baobabcart.integration.support.ClosedLoopLoad;
import org.baobabcart.launcher.FleetNetwork;
import org.baobabcart.launcher.FleetNode;
import org.baobabcart.model.request.Bill;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Each finished request has one bill, over cuts, their healing and the death of a router on one side. */
class NetworkPartitionBillTest {
    private static final int CALLERS = 8;
    private static final int MANY = 80;
    private static final int TOKENS = 4;

    private NetworkPartitionFleet fleet;

    @BeforeEach
    void start() {
        fleet = NetworkPartitionFleet.start("cut-bills");
    }

    @AfterEach
    void stop() {
        fleet.close();
    }

    @Test
    void aCutBetweenDataCentresAndARouterKilledOnOneSide() {
        ClosedLoopLoad load = load();
        load.awaitMore(MANY);
        fleet.network().cut(NetworkPartitionFleet.NEAR, NetworkPartitionFleet.FAR);
        load.awaitMore(MANY);
        FleetNode victim = fleet.routers(NetworkPartitionFleet.NEAR).get(0);
        victim.process().kill();
        load.awaitMore(MANY);
        fleet.network().heal();
        victim.process().restart();
        fleet.awaitWhole();
        load.awaitMore(MANY);
        assertEachIsBilledOnce(load.end());
    }

    @Test
    void aSideCutOffFromThePlatformTooAndARouterKilledThere() {
        ClosedLoopLoad load = load();
        load.awaitMore(MANY);
        fleet.network().cut(NetworkPartitionFleet.NEAR, NetworkPartitionFleet.FAR);
        fleet.network().cut(NetworkPartitionFleet.NEAR, FleetNetwork.PLATFORM);
        fleet.awaitCutOff();
        load.awaitMore(MANY);
        FleetNode victim = fleet.routers(NetworkPartitionFleet.NEAR).get(0);
        victim.process().kill();
        load.awaitMore(MANY);
        fleet.network().heal();
        victim.process().restart();
        fleet.awaitWhole();
        assertEachIsBilledOnce(load.end());
    }

    private ClosedLoopLoad load() {
        return ClosedLoopLoad.start(
                CALLERS,
                number -> fleet.caller()
                        .chat(fleet.routers().get(number % 4), NetworkPartitionFleet.MODEL, "pane " + number, TOKENS)
                        .join());
    }

    /** Both holders may commit a bill; they must then agree on every field, since one of them counts. */
    private void assertEachIsBilledOnce(List<CallerResponse> replies) {
        Set<String> finished = replies.stream()
                .filter(CallerResponse::succeeded)
                .map(CallerResponse::requestId)
                .collect(Collectors.toSet());
        assertThat(finished, not(empty()));
        Await.until("every finished request is billed", () -> billed().keySet().containsAll(finished));
        assertThat(billed().values().stream().filter(same -> same.size() > 1).toList(), empty());
    }

    private Map<String, Set<Bill>> billed() {
        return fleet.bills().stream().collect(Collectors.groupingBy(Bill::requestId, Collectors.toSet()));
    }
}
