package org.baobabcart.integration.cut;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.hasItems;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.baobabcart.integration.support.Await;
import org.baobabcart.integration.support.Caller;
import org.baobabcart.integration.support.CallerResponse;
import org.baobabcart.integration.support.ClosedLoopLoad;
import org.baobabcart.launcher.FleetNetwork;
import org.baobabcart.launcher.FleetNode;
import org.baobabcart.launcher.LocalFleet;
import org.baobabcart.model.request.Headers;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Checks sheets, model requests and sessions while data centres are partitioned from each other and from the platform.
 */
class NetworkPartitionControlTest {
    /** The maximum time until a change is in force everywhere, for the size that the fleet is designed for. */
    private static final Duration MAX_TIME_TO_APPLY = Duration.ofSeconds(18);

    private static final int CALLERS = 8;
    private static final int MANY = 60;
    private static final int TOKENS = 4;
    private static final int SESSIONS = 16;

    private NetworkPartitionFleet fleet;
    private Caller caller;
    private FleetNetwork network;

    @BeforeEach
    void start() {
        fleet = NetworkPartitionFleet.start("cut-control");
        caller = fleet.caller();
        network = fleet.network();
    }

    @AfterEach
    void stop() {
        fleet.close();
    }

    @Test
    void bothSidesServeModelRequestsDuringAPartition() {
        ClosedLoopLoad load = load();
        load.awaitMore(MANY);
        network.cut(NetworkPartitionFleet.NEAR, NetworkPartitionFleet.FAR);
        load.awaitMore(MANY);
        fleet.awaitPartitionDetected();
        load.awaitMore(MANY);
        network.heal();
        fleet.awaitConnected();
        load.awaitMore(MANY);
        assertThat(failures(load.stop()), empty());
        fleet.routers().forEach(this::assertGenerationsOnlyGrow);
    }

    @Test
    void isolatedSideKeepsItsSheetAndAppliesTheNewerOneAfterThePartition() {
        fleet.localFleet().publish(fleet.sheet(0.5, 0.5));
        fleet.awaitConnected();
        long before = fleet.sheetGeneration(fleet.routers().get(0));
        isolate(NetworkPartitionFleet.NEAR);
        fleet.awaitPartitionDetected();
        ClosedLoopLoad load = load();
        load.awaitMore(MANY);
        ObjectNode sheetWithWithdrawal = fleet.sheet(0.5, 0.5);
        sheetWithWithdrawal
                .putArray("withdrawals")
                .addObject()
                .put("model", NetworkPartitionFleet.MODEL)
                .put("version", "v2");
        long newer = fleet.localFleet().publish(sheetWithWithdrawal);
        fleet.routers(NetworkPartitionFleet.FAR).forEach(router -> awaitApplied(router, newer));
        load.awaitMore(MANY);
        for (FleetNode router : fleet.routers(NetworkPartitionFleet.NEAR)) {
            assertThat(fleet.sheetGeneration(router), is(before));
            assertThat(fleet.status(router).path("ready").asBoolean(), is(true));
        }
        network.heal();
        long healed = System.nanoTime();
        fleet.routers().forEach(router -> awaitApplied(router, newer));
        assertThat(System.nanoTime() - healed, lessThan(MAX_TIME_TO_APPLY.toNanos()));
        long begun = fleet.runsOfVersion("v2");
        load.awaitMore(MANY);
        assertThat(failures(load.stop()), empty());
        assertThat(fleet.runsOfVersion("v2"), is(begun));
        fleet.routers().forEach(this::assertGenerationsOnlyGrow);
    }

    @Test
    void publishedSheetArrivesThroughThePlatformOnly() {
        network.cut(NetworkPartitionFleet.NEAR, NetworkPartitionFleet.FAR);
        fleet.awaitPartitionDetected();
        long newer = fleet.localFleet().publish(fleet.sheet(0.5, 0.5));
        long published = System.nanoTime();
        fleet.routers().forEach(router -> awaitApplied(router, newer));
        assertThat(System.nanoTime() - published, lessThan(MAX_TIME_TO_APPLY.toNanos()));
    }

    @Test
    void publishedSheetArrivesThroughPeersOnly() {
        network.cut(NetworkPartitionFleet.NEAR, FleetNetwork.PLATFORM);
        long newer = fleet.localFleet().publish(fleet.sheet(0.5, 0.5));
        long published = System.nanoTime();
        fleet.routers().forEach(router -> awaitApplied(router, newer));
        assertThat(System.nanoTime() - published, lessThan(MAX_TIME_TO_APPLY.toNanos()));
    }

    /** Watches and idle connections of all routers deliver nothing any more, and no router learns that from their ends. */
    @Test
    void publishedSheetArrivesWhileOpenConnectionsToThePlatformAreSilent() {
        LocalFleet local = fleet.localFleet();
        local.fault(local.platform(), "{\"silent-connections\": true}");
        long newer = local.publish(fleet.sheet(0.5, 0.5));
        long published = System.nanoTime();
        fleet.routers().forEach(router -> awaitApplied(router, newer));
        assertThat(System.nanoTime() - published, lessThan(MAX_TIME_TO_APPLY.toNanos()));
    }

    @Test
    void sessionsKeepTheirVersionAcrossAPartition() {
        fleet.localFleet().publish(fleet.sheet(0.5, 0.5));
        fleet.awaitConnected();
        List<CallerResponse> begun = IntStream.range(0, SESSIONS)
                .mapToObj(session -> ask(fleet.routers().get(session % 4), Map.of()))
                .toList();
        assertThat(begun.stream().map(CallerResponse::version).collect(Collectors.toSet()), hasItems("v1", "v2"));
        isolate(NetworkPartitionFleet.NEAR);
        fleet.awaitPartitionDetected();
        fleet.localFleet().publish(fleet.sheet(0, 1));
        assertSessionsKeepTheirVersion(begun);
        network.heal();
        fleet.awaitConnected();
        assertSessionsKeepTheirVersion(begun);
    }

    private void assertSessionsKeepTheirVersion(List<CallerResponse> begun) {
        for (CallerResponse first : begun) {
            List<CompletableFuture<CallerResponse>> calls = fleet.routers().stream()
                    .map(router -> caller.chat(
                            router,
                            NetworkPartitionFleet.MODEL,
                            "how many",
                            TOKENS,
                            Map.of(Headers.SESSION, first.session())))
                    .toList();
            List<String> versions = new ArrayList<>();
            calls.forEach(call -> versions.add(call.join().version()));
            assertThat(versions, everyItem(equalTo(first.version())));
        }
    }

    private void isolate(String dataCentre) {
        network.cut(NetworkPartitionFleet.NEAR, NetworkPartitionFleet.FAR);
        network.cut(dataCentre, FleetNetwork.PLATFORM);
    }

    private void awaitApplied(FleetNode router, long generation) {
        Await.until(router.name() + " has applied the sheet", () -> fleet.sheetGeneration(router) >= generation);
    }

    private ClosedLoopLoad load() {
        return ClosedLoopLoad.start(CALLERS, number -> ask(fleet.routers().get(number % 4), Map.of()));
    }

    private CallerResponse ask(FleetNode router, Map<String, String> headers) {
        return caller.chat(router, NetworkPartitionFleet.MODEL, "how many panes", TOKENS, headers)
                .join();
    }

    private static List<CallerResponse> failures(List<CallerResponse> responses) {
        return responses.stream().filter(response -> !response.succeeded()).toList();
    }

    private void assertGenerationsOnlyGrow(FleetNode router) {
        List<Long> applied = fleet.appliedGenerations(router);
        assertThat(applied, equalTo(applied.stream().distinct().sorted().toList()));
    }
}
