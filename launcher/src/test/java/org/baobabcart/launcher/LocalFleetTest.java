package org.baobabcart.launcher;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.List;
import org.baobabcart.model.result.BaobabcartException;
import org.baobabcart.model.sheet.SheetReader;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

class LocalFleetTest {
    private static final Duration EXIT_TIMEOUT = Duration.ofSeconds(30);
    private static final String BOOKINGS = "/bookings";

    private static LocalFleet fleet;

    @BeforeAll
    static void start() {
        fleet = LocalFleet.start(FleetSettings.defaults()
                .withName("local-fleet-test")
                .withDataCentres("a")
                .withRoutersPerDataCentre(0)
                .withEngines(2, List.of(EngineSettings.large("v1"), EngineSettings.small("v1")))
                .withPlatformProxies());
    }

    @AfterAll
    static void stop() {
        fleet.close();
    }

    @Test
    void publishesValidSheetWithIncreasingGenerations() {
        JsonNode sheet = fleet.defaultSheet().toJson();
        assertThat(
                SheetReader.create().read(sheet), equalTo(fleet.defaultSheet().sheet()));
        long first = fleet.publish(sheet);
        assertThat(fleet.publish(sheet), equalTo(first + 1));
        fleet.fault(fleet.platform(), "{\"lose-answers-after-write\":true}");
        assertThat(fleet.publish(sheet), equalTo(first + 2));
        fleet.fault(fleet.platform(), "{\"lose-answers-after-write\":false}");
        String proxied = fleet.platformProxy("a").url("proxy") + "/apis/baobabcart/v1/sheets/current";
        JsonNode spec = fleet.calls().get(proxied).body().path("spec");
        assertThat(spec.path("generation").asLong(), equalTo(first + 2));
    }

    @Test
    void listsUpstreamsAsVirtualMachines() {
        JsonNode list = fleet.calls()
                .get(fleet.virtualMachines().url("http") + "/vms")
                .body()
                .path("virtualMachines");
        assertThat(list.findValuesAsText("name"), equalTo(List.of("engine-a-1", "engine-a-2", "orders-a-1")));
        assertThat(fleet.describe().path("upstreams").size(), equalTo(3));
    }

    @Test
    void restartsOnSamePortsAfterKill() {
        ManagedProcess engine = fleet.engines().get(0).process();
        int port = engine.port("http");
        long pid = engine.pid();
        engine.kill();
        assertThat(engine.isAlive(), is(false));
        engine.restart();
        assertThat(engine.port("http"), equalTo(port));
        assertThat(engine.pid(), not(pid));
        assertThat(fleet.calls().get(engine.url("http") + "/health").status(), equalTo(200));
    }

    @Test
    void processExitsOnCrashPromptAndRunsAreEmptyAfterRestart() {
        FleetNode service = fleet.services().get(0);
        fleet.fault(service.process(), "{\"crash-on\":\"poison\"}");
        String url = service.http() + BOOKINGS;
        assertThat(fleet.calls().post(url, "{\"text\":\"sound\"}").status(), equalTo(201));
        assertThrows(BaobabcartException.class, () -> fleet.calls().post(url, "{\"text\":\"poison\"}"));
        assertThat(service.process().awaitExit(EXIT_TIMEOUT), equalTo(134));
        service.process().restart();
        assertThat(fleet.runs(service).size(), equalTo(0));
    }

    @Test
    void pausedProcessRespondsAfterResume() {
        FleetNode engine = fleet.engines().get(1);
        engine.process().pause();
        assertThat(engine.process().isAlive(), is(true));
        engine.process().resume();
        assertThat(fleet.calls().get(engine.http() + "/health").status(), equalTo(200));
    }

    @Test
    void terminateStopsProcess() {
        ManagedProcess proxy = fleet.startProxy("spare-proxy", fleet.platform().port("http"));
        proxy.terminate(EXIT_TIMEOUT);
        assertThat(proxy.isAlive(), is(false));
    }
}
