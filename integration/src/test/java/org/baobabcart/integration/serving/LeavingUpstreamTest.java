package org.baobabcart.integration.serving;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasSize;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import org.baobabcart.integration.support.Await;
import org.baobabcart.integration.support.Caller;
import org.baobabcart.integration.support.CallerResponse;
import org.baobabcart.integration.support.ClosedLoopLoad;
import org.baobabcart.integration.support.ServingFleet;
import org.baobabcart.launcher.EngineSettings;
import org.baobabcart.launcher.FleetNode;
import org.baobabcart.model.platform.VirtualMachine;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/**
 * Checks that a leaving engine gets no new requests and that no request fails, also while the list of VMs lags or is
 * wrong.
 */
class LeavingUpstreamTest {
    private static final int CALLERS = 8;
    private static final int TOKENS = 8;
    private static final int BATCH = 200;
    private static ServingFleet fleet;

    @BeforeAll
    static void start() {
        fleet = ServingFleet.start("leaving", EngineSettings.large("v1"), EngineSettings.large("v1"));
    }

    @AfterAll
    static void stop() {
        fleet.close();
    }

    @Test
    void engineListedAsLeavingGetsNoNewRequests() {
        FleetNode engine = fleet.localFleet().engines().get(0);
        ClosedLoopLoad load = load();
        load.awaitMore(BATCH);
        updateListEntry(engine, VirtualMachine.State.LEAVING);
        fleet.routers()
                .forEach(router -> Await.until("the router has read the list", () -> !isUpstream(router, engine)));
        List<String> before = fleet.requestsStarted(List.of(engine));
        load.awaitMore(BATCH);
        assertThat(failed(load), empty());
        assertThat(fleet.requestsStarted(List.of(engine)), hasSize(before.size()));
        updateListEntry(engine, VirtualMachine.State.LIVE);
    }

    @Test
    void leavingEngineListedAsLiveFailsNoRequest() {
        FleetNode engine = fleet.localFleet().engines().get(1);
        fleet.localFleet().fault(fleet.localFleet().virtualMachines(), "{\"wrong\":[\"" + engine.name() + "\"]}");
        ClosedLoopLoad load = load();
        load.awaitMore(BATCH);
        fleet.localFleet().fault(engine.process(), "{\"leave\":true}");
        List<String> before = fleet.requestsStarted(List.of(engine));
        load.awaitMore(BATCH);
        assertThat(failed(load), empty());
        assertThat(fleet.requestsStarted(List.of(engine)).size() - before.size() <= CALLERS, equalTo(true));
        fleet.localFleet().fault(engine.process(), "{\"leave\":false}");
        fleet.localFleet().fault(fleet.localFleet().virtualMachines(), "{\"wrong\":[]}");
    }

    private static ClosedLoopLoad load() {
        Caller caller = fleet.caller();
        List<FleetNode> routers = fleet.routers();
        return ClosedLoopLoad.start(
                CALLERS,
                number -> caller.chat(
                                routers.get(number % routers.size()),
                                ServingFleet.MODEL + "@v1",
                                "pane " + number,
                                TOKENS)
                        .join());
    }

    private static List<CallerResponse> failed(ClosedLoopLoad load) {
        return load.stop().stream().filter(response -> !response.succeeded()).toList();
    }

    private static void updateListEntry(FleetNode engine, VirtualMachine.State state) {
        VirtualMachine listed = engine.machine();
        fleet.localFleet()
                .putVirtualMachine(new VirtualMachine(
                        listed.name(),
                        listed.role(),
                        listed.dataCentre(),
                        state,
                        listed.address(),
                        listed.model(),
                        listed.version(),
                        listed.service()));
    }

    private static boolean isUpstream(FleetNode router, FleetNode engine) {
        for (JsonNode upstream : fleet.status(router).path("upstreams")) {
            if (upstream.path("name").asText().equals(engine.name())) {
                return upstream.path("state").asText().equals(VirtualMachine.State.LIVE.name());
            }
        }
        return false;
    }
}
