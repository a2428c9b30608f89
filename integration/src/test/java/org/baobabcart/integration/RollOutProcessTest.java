package org.baobabcart.integration;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.baobabcart.integration.support.Await;
import org.baobabcart.integration.support.Caller;
import org.baobabcart.integration.support.CallerResponse;
import org.baobabcart.launcher.EngineSettings;
import org.baobabcart.launcher.FleetNode;
import org.baobabcart.launcher.FleetSettings;
import org.baobabcart.launcher.LocalFleet;
import org.junit.jupiter.api.Test;

/**
 * Checks that two router processes stop the roll-out of a bad version by their pooled ratings and then send it no
 * requests.
 */
class RollOutProcessTest {
    private static final int MAX_EXPOSURE = 200;
    private static final int MAX_REQUESTS = 5_000;
    private static final String ROLL_OUTS = "/apis/baobabcart/v1/rollouts/current";

    @Test
    void stopsABadVersionAndSendsItNoMoreRequests() {
        List<EngineSettings> engines = List.of(
                EngineSettings.large("v1").withCapacity(8, 1),
                EngineSettings.large("v2").withCapacity(8, 1).withQuality(0.2));
        try (LocalFleet fleet = LocalFleet.start(FleetSettings.defaults()
                .withName("roll-out")
                .withDataCentres("a")
                .withRoutersPerDataCentre(2)
                .withEngines(2, engines))) {
            fleet.publish(sheetWithRollOut(fleet));
            Await.until("the roll-out is running", () -> status(fleet).equals("RUNNING"));
            Caller caller = Caller.of(fleet);
            int sent = 0;
            while (!status(fleet).equals("STOPPED") && sent < MAX_REQUESTS) {
                chat(fleet, caller, sent);
                sent++;
            }
            assertThat(status(fleet), equalTo("STOPPED"));
            FleetNode badEngine = fleet.engines().get(1);
            fleet.routers()
                    .forEach(router -> Await.until(
                            "the router has applied the stop",
                            () -> generation(fleet, router) == storedGeneration(fleet)));
            int exposures = fleet.runs(badEngine).size();
            System.out.printf("roll-out of processes: %d requests, %d exposures%n", sent, exposures);
            for (int request = 0; request < 200; request++) {
                chat(fleet, caller, request);
            }
            assertThat(fleet.runs(badEngine).size(), equalTo(exposures));
            assertThat(exposures, lessThanOrEqualTo(MAX_EXPOSURE));
        }
    }

    private static void chat(LocalFleet fleet, Caller caller, int number) {
        FleetNode router = fleet.routers().get(number % fleet.routers().size());
        CallerResponse response =
                caller.chat(router, "layout-large", "pane " + number, 2).join();
        assertThat(response.body(), response.status(), equalTo(200));
    }

    private static String status(LocalFleet fleet) {
        return stored(fleet).path("progress").path(0).path("status").asText();
    }

    private static long storedGeneration(LocalFleet fleet) {
        return stored(fleet).path("generation").asLong();
    }

    private static long generation(LocalFleet fleet, FleetNode router) {
        return fleet.calls()
                .get(router.admin() + "/status")
                .body()
                .path("rollOuts")
                .path("generation")
                .asLong();
    }

    private static JsonNode stored(LocalFleet fleet) {
        return fleet.calls()
                .get(fleet.platform().url("http") + ROLL_OUTS)
                .body()
                .path("spec");
    }

    private static JsonNode sheetWithRollOut(LocalFleet fleet) {
        ObjectNode sheet = (ObjectNode) fleet.defaultSheet().toJson();
        ArrayNode rollOuts = sheet.putArray("rollOuts");
        ObjectNode rollOut = rollOuts.addObject();
        rollOut.put("model", "layout-large").put("from", "v1").put("to", "v2");
        rollOut.putArray("stages")
                .addObject()
                .put("share", 0.1)
                .put("minimumSeconds", 600)
                .put("minimumSamples", 50);
        return sheet;
    }
}
