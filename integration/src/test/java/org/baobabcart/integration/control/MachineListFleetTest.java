package org.baobabcart.integration.control;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.List;
import org.baobabcart.integration.support.Await;
import org.baobabcart.launcher.FleetNode;
import org.baobabcart.launcher.FleetSettings;
import org.baobabcart.launcher.LocalFleet;
import org.baobabcart.model.platform.VirtualMachine;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Checks that router processes follow the list of VMs while its readers are killed, paused or restarted. */
class MachineListFleetTest {
    private static final Duration MAX_DETECTION_TIME = Duration.ofSeconds(5);
    private static final int READERS = 4;
    private static final int ROUTERS = 6;

    private LocalFleet fleet;

    @BeforeEach
    void start() {
        fleet = LocalFleet.start(
                FleetSettings.defaults().withName("machine-list").withRoutersPerDataCentre(3));
        Await.until(
                "each router has discovered all others",
                () -> fleet.routers().stream()
                        .allMatch(router -> status(router).path("members").size() == ROUTERS - 1));
        Await.until(
                "the expected number of routers read the list", () -> readers().size() == READERS);
    }

    @AfterEach
    void close() {
        fleet.close();
    }

    @Test
    void otherRoutersReadTheListWhenAllReadersFailAndResumedReadersCatchUp() {
        List<FleetNode> readers = readers();
        List<FleetNode> paused = readers.subList(0, 2);
        List<FleetNode> others = fleet.routers().stream()
                .filter(router -> !readers.contains(router))
                .toList();
        paused.forEach(router -> router.process().pause());
        readers.subList(2, READERS).forEach(router -> router.process().kill());
        FleetNode engine = fleet.engines().get(0);
        assertThat(timeUntilLeavingIsSeen(others, engine), lessThanOrEqualTo(MAX_DETECTION_TIME));
        paused.forEach(router -> router.process().resume());
        Await.until(
                "the resumed routers see the engine leaving",
                () -> paused.stream().allMatch(router -> isLeaving(router, engine)));
        assertThat(others.stream().filter(router -> isLeaving(router, engine)).toList(), hasSize(others.size()));
    }

    @Test
    void routerStartedDuringAListOutageFetchesTheListFromAPeer() {
        FleetNode restarted = fleet.routers().get(0);
        restarted.process().kill();
        fleet.fault(fleet.virtualMachines(), "{\"outage\":true}");
        restarted.process().restart();
        int upstreams = fleet.engines().size() + fleet.services().size();
        Await.until(
                "the router has all upstreams",
                () -> status(restarted).path("upstreams").size() == upstreams);
    }

    private Duration timeUntilLeavingIsSeen(List<FleetNode> routers, FleetNode engine) {
        VirtualMachine listed = engine.machine();
        fleet.putVirtualMachine(new VirtualMachine(
                listed.name(),
                listed.role(),
                listed.dataCentre(),
                VirtualMachine.State.LEAVING,
                listed.address(),
                listed.model(),
                listed.version(),
                listed.service()));
        long start = System.nanoTime();
        Await.until(
                "the routers see the engine leaving",
                () -> routers.stream().allMatch(router -> isLeaving(router, engine)));
        return Duration.ofNanos(System.nanoTime() - start);
    }

    private List<FleetNode> readers() {
        return fleet.routers().stream()
                .filter(router ->
                        status(router).path("virtualMachineList").path("reads").asBoolean())
                .toList();
    }

    private boolean isLeaving(FleetNode router, FleetNode engine) {
        for (JsonNode upstream : status(router).path("upstreams")) {
            if (upstream.path("name").asText().equals(engine.name())) {
                return upstream.path("state").asText().equals(VirtualMachine.State.LEAVING.name());
            }
        }
        return false;
    }

    private JsonNode status(FleetNode router) {
        return fleet.calls().get(router.admin() + "/status").body();
    }
}
