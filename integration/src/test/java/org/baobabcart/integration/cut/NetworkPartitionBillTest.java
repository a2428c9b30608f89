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

/** Checks that each finished request has one bill despite network partitions and the crash of a router. */
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
    void billsSurvivePartitionOfDataCentresAndARouterCrash() {
        ClosedLoopLoad load = load();
        load.awaitMore(MANY);
        fleet.network().cut(NetworkPartitionFleet.NEAR, NetworkPartitionFleet.FAR);
        load.awaitMore(MANY);
        FleetNode victim = fleet.routers(NetworkPartitionFleet.NEAR).get(0);
        victim.process().kill();
        load.awaitMore(MANY);
        fleet.network().heal();
        victim.process().restart();
        fleet.awaitConnected();
        load.awaitMore(MANY);
        assertEachBilledOnce(load.stop());
    }

    @Test
    void billsSurvivePartitionFromThePlatformAndARouterCrash() {
        ClosedLoopLoad load = load();
        load.awaitMore(MANY);
        fleet.network().cut(NetworkPartitionFleet.NEAR, NetworkPartitionFleet.FAR);
        fleet.network().cut(NetworkPartitionFleet.NEAR, FleetNetwork.PLATFORM);
        fleet.awaitPartitionDetected();
        load.awaitMore(MANY);
        FleetNode victim = fleet.routers(NetworkPartitionFleet.NEAR).get(0);
        victim.process().kill();
        load.awaitMore(MANY);
        fleet.network().heal();
        victim.process().restart();
        fleet.awaitConnected();
        assertEachBilledOnce(load.stop());
    }

    private ClosedLoopLoad load() {
        return ClosedLoopLoad.start(
                CALLERS,
                number -> fleet.caller()
                        .chat(fleet.routers().get(number % 4), NetworkPartitionFleet.MODEL, "pane " + number, TOKENS)
                        .join());
    }

    /** Both holders may commit a bill. The copies must then be equal in every field, since only one of them counts. */
    private void assertEachBilledOnce(List<CallerResponse> responses) {
        Set<String> finished = responses.stream()
                .filter(CallerResponse::succeeded)
                .map(CallerResponse::requestId)
                .collect(Collectors.toSet());
        assertThat(finished, not(empty()));
        Await.until("every finished request is billed", () -> billed().keySet().containsAll(finished));
        assertThat(
                billed().values().stream().filter(copies -> copies.size() > 1).toList(), empty());
    }

    private Map<String, Set<Bill>> billed() {
        return fleet.bills().stream().collect(Collectors.groupingBy(Bill::requestId, Collectors.toSet()));
    }
}
