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

/** An engine that leaves gets no new work, also while the list of VMs lags or is wrong, and no request fails. */
class LeavingUpstreamTest {
    private static final int CALLERS = 8;
    private static final int TOKENS = 8;
    private static final int MANY = 200;
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
    void anEngineThatTheListCallsLeavingGetsNoNewWork() {
        FleetNode engine = fleet.processes().engines().get(0);
        ClosedLoopLoad load = load();
        load.awaitMore(MANY);
        list(engine, VirtualMachine.State.LEAVING);
        fleet.routers().forEach(router -> Await.until("the list has arrived", () -> !isUpstream(router, engine)));
        List<String> before = fleet.requestsBegun(List.of(engine));
        load.awaitMore(MANY);
        assertThat(failed(load), empty());
        assertThat(fleet.requestsBegun(List.of(engine)), hasSize(before.size()));
        list(engine, VirtualMachine.State.LIVE);
    }

    @Test
    void anEngineThatRefusesWhileTheListIsWrongFailsNoRequest() {
        FleetNode engine = fleet.processes().engines().get(1);
        fleet.processes().fault(fleet.processes().virtualMachines(), "{\"wrong\":[\"" + engine.name() + "\"]}");
        ClosedLoopLoad load = load();
        load.awaitMore(MANY);
        fleet.processes().fault(engine.process(), "{\"leave\":true}");
        List<String> before = fleet.requestsBegun(List.of(engine));
        load.awaitMore(MANY);
        assertThat(failed(load), empty());
        assertThat(fleet.requestsBegun(List.of(engine)).size() - before.size() <= CALLERS, equalTo(true));
        fleet.processes().fault(engine.process(), "{\"leave\":false}");
        fleet.processes().fault(fleet.processes().virtualMachines(), "{\"wrong\":[]}");
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
        return load.end().stream().filter(reply -> !reply.succeeded()).toList();
    }

    private static void list(FleetNode engine, VirtualMachine.State state) {
        VirtualMachine listed = engine.machine();
        fleet.processes()
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
