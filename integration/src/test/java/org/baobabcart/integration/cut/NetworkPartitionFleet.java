package org.baobabcart.integration.cut;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.baobabcart.integration.support.Await;
import org.baobabcart.integration.support.Caller;
import org.baobabcart.launcher.EngineSettings;
import org.baobabcart.launcher.FleetNetwork;
import org.baobabcart.launcher.FleetNode;
import org.baobabcart.launcher.FleetSettings;
import org.baobabcart.launcher.LocalFleet;
import org.baobabcart.model.request.Bill;

/**
 * Two data centres with two routers, an engine of each version and an order service each, and a network that can be
 * cut.
 */
final class NetworkPartitionFleet implements AutoCloseable {
    static final String MODEL = "layout-large";
    static final String NEAR = "a";
    static final String FAR = "b";

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String OBJECTS = "/apis/baobabcart/v1/";

    private final LocalFleet fleet;

    private NetworkPartitionFleet(LocalFleet fleet) {
        this.fleet = fleet;
    }

    static NetworkPartitionFleet start(String name) {
        List<EngineSettings> engines = List.of(
                EngineSettings.large("v1").withCapacity(8, 1),
                EngineSettings.large("v2").withCapacity(8, 1));
        NetworkPartitionFleet started = new NetworkPartitionFleet(LocalFleet.start(FleetSettings.defaults()
                .withName(name)
                .withRoutersPerDataCentre(2)
                .withEngines(2, engines)
                .withNetwork()));
        started.fleet.publish(started.sheet(1, 0));
        started.awaitConnected();
        return started;
    }

    LocalFleet localFleet() {
        return fleet;
    }

    FleetNetwork network() {
        return fleet.network();
    }

    Caller caller() {
        return Caller.of(fleet);
    }

    List<FleetNode> routers() {
        return fleet.routers();
    }

    List<FleetNode> routers(String dataCentre) {
        return routers().stream()
                .filter(router -> router.dataCentre().equals(dataCentre))
                .toList();
    }

    /** Returns the fleet's sheet with the given shares of the two versions of the large model. */
    ObjectNode sheet(double first, double second) {
        ObjectNode sheet = fleet.defaultSheet().toJson().deepCopy();
        for (JsonNode model : sheet.path("models")) {
            if (model.path("name").asText().equals(MODEL)) {
                ((ObjectNode) model.path("versions").get(0)).put("share", first);
                ((ObjectNode) model.path("versions").get(1)).put("share", second);
            }
        }
        return sheet;
    }

    /** Waits until every router is ready, reaches the platform, sees all others alive and has the newest sheet. */
    void awaitConnected() {
        for (FleetNode router : routers()) {
            Await.until(router.name() + " is connected to all others and up to date", () -> isConnected(router));
        }
    }

    /** Waits until no router considers a router of another data centre alive. */
    void awaitPartitionDetected() {
        for (FleetNode router : routers()) {
            Await.until(
                    router.name() + " has detected the partition",
                    () -> alivePeers(router).stream()
                            .allMatch(name -> dataCentreOf(name).equals(router.dataCentre())));
        }
    }

    JsonNode status(FleetNode router) {
        return fleet.calls().get(router.admin() + "/status").body();
    }

    long sheetGeneration(FleetNode router) {
        return status(router).path("sheet").path("generation").asLong();
    }

    /** Returns the generations that a router applied, in the order of its own time line. */
    List<Long> appliedGenerations(FleetNode router) {
        List<Long> generations = new ArrayList<>();
        for (JsonNode event : fleet.calls()
                .get(router.admin() + "/timeline?type=SHEET_APPLIED")
                .body()
                .path("events")) {
            generations.add(Long.parseLong(event.path("detail").asText().replaceAll(".*generation=(\\d+).*", "$1")));
        }
        return generations;
    }

    /** Returns the {@code spec} of an object as stored by the platform. */
    JsonNode stored(String kind, String name) {
        return fleet.calls()
                .get(fleet.platform().url("http") + OBJECTS + kind + "/" + name)
                .body()
                .path("spec");
    }

    /** Returns all bills stored by the platform, including those committed by both holders. */
    List<Bill> bills() {
        List<Bill> bills = new ArrayList<>();
        fleet.calls()
                .get(fleet.platform().url("http") + OBJECTS + "bills")
                .body()
                .path("items")
                .forEach(item -> item.path("spec")
                        .path("bills")
                        .forEach(bill -> bills.add(MAPPER.convertValue(bill, Bill.class))));
        return bills;
    }

    /** Returns how often the services of both sides started a call with each idempotency key. */
    Map<String, Long> runsByKey() {
        return fleet.services().stream()
                .flatMap(this::runs)
                .collect(Collectors.groupingBy(run -> run.path("idempotencyKey").asText(), Collectors.counting()));
    }

    /** Returns the ids of the requests that any upstream started. */
    Set<String> requestsRun() {
        return Stream.concat(fleet.services().stream(), fleet.engines().stream())
                .flatMap(this::runs)
                .map(run -> run.path("requestId").asText())
                .collect(Collectors.toSet());
    }

    long runsOfVersion(String version) {
        return fleet.engines().stream()
                .filter(engine -> engine.machine().version().equals(version))
                .flatMap(this::runs)
                .count();
    }

    @Override
    public void close() {
        fleet.close();
    }

    private Stream<JsonNode> runs(FleetNode upstream) {
        List<JsonNode> runs = new ArrayList<>();
        fleet.runs(upstream).forEach(runs::add);
        return runs.stream();
    }

    private boolean isConnected(FleetNode router) {
        JsonNode status = status(router);
        boolean upToDate = status.path("sheet").path("generation").asLong()
                == stored("sheets", "current").path("generation").asLong();
        return status.path("ready").asBoolean()
                && status.path("platformReachable").asBoolean()
                && upToDate
                && alivePeers(router).size() == routers().size() - 1;
    }

    private Set<String> alivePeers(FleetNode router) {
        Set<String> alive = new HashSet<>();
        for (JsonNode member : status(router).path("members")) {
            if (member.path("state").asText().equals("ALIVE")) {
                alive.add(member.path("nodeId").asText());
            }
        }
        return alive;
    }

    private String dataCentreOf(String name) {
        return routers().stream()
                .filter(router -> router.name().equals(name))
                .findFirst()
                .orElseThrow()
                .dataCentre();
    }
}
