package org.baobabcart.integration.support;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import org.baobabcart.launcher.EngineSettings;
import org.baobabcart.launcher.FleetNode;
import org.baobabcart.launcher.FleetSettings;
import org.baobabcart.launcher.LocalFleet;

/** Two data centres with two routers each and engines of both versions of the large model. */
public final class ServingFleet implements AutoCloseable {
    public static final String MODEL = "layout-large";

    private static final int ENGINES = 2;

    private final LocalFleet fleet;

    private ServingFleet(LocalFleet fleet) {
        this.fleet = fleet;
    }

    public static ServingFleet start(String name) {
        return start(name, EngineSettings.large("v1"), EngineSettings.large("v2"));
    }

    public static ServingFleet start(String name, EngineSettings first, EngineSettings second) {
        FleetSettings settings = FleetSettings.defaults()
                .withName(name)
                .withRoutersPerDataCentre(2)
                .withEngines(ENGINES, List.of(first, second));
        ServingFleet started = new ServingFleet(LocalFleet.start(settings));
        started.publish(started.fleet.defaultSheet().toJson());
        started.awaitReady();
        return started;
    }

    public LocalFleet localFleet() {
        return fleet;
    }

    public List<FleetNode> routers() {
        return fleet.routers();
    }

    public Caller caller() {
        return Caller.of(fleet);
    }

    /** Publishes a sheet and waits until every live router has applied it. */
    public void publish(JsonNode sheet) {
        long generation = fleet.publish(sheet);
        liveRouters()
                .forEach(router -> Await.until(
                        router.name() + " has applied the sheet", () -> sheetGeneration(router) >= generation));
    }

    public void awaitReady() {
        liveRouters().forEach(router -> Await.until(router.name() + " is ready", () -> isReady(router)));
        int peers = liveRouters().size() - 1;
        liveRouters()
                .forEach(router -> Await.until(
                        router.name() + " sees the other routers alive", () -> alivePeers(router) >= peers));
    }

    public boolean isReady(FleetNode router) {
        return fleet.calls().get(router.admin() + "/readyz").status() == 200;
    }

    public JsonNode status(FleetNode router) {
        return fleet.calls().get(router.admin() + "/status").body();
    }

    public List<FleetNode> engines(String version) {
        return fleet.engines().stream()
                .filter(engine -> engine.machine().version().equals(version))
                .toList();
    }

    public List<String> requestsStarted(List<FleetNode> upstreams) {
        List<String> requests = new ArrayList<>();
        for (FleetNode upstream : upstreams) {
            fleet.runs(upstream)
                    .forEach(run -> requests.add(run.path("requestId").asText()));
        }
        return requests;
    }

    @Override
    public void close() {
        fleet.close();
    }

    private List<FleetNode> liveRouters() {
        return routers().stream().filter(router -> router.process().isAlive()).toList();
    }

    private long sheetGeneration(FleetNode router) {
        return status(router).path("sheet").path("generation").asLong();
    }

    private int alivePeers(FleetNode router) {
        int alive = 0;
        for (JsonNode member : status(router).path("members")) {
            alive += member.path("state").asText().equals("ALIVE") ? 1 : 0;
        }
        return alive;
    }
}
