package org.baobabcart.integration.claims;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.baobabcart.integration.support.Await;
import org.baobabcart.integration.support.Caller;
import org.baobabcart.launcher.EngineSettings;
import org.baobabcart.launcher.FleetNode;
import org.baobabcart.launcher.FleetSettings;
import org.baobabcart.launcher.LocalFleet;
import org.baobabcart.model.request.Bill;
import org.baobabcart.policy.bill.BillLedger;
import org.baobabcart.policy.bill.BillSegment;

/** Two data centres with two routers each, an order service each and an engine each. */
final class ClaimFleet implements AutoCloseable {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final LocalFleet fleet;

    private ClaimFleet(LocalFleet fleet) {
        this.fleet = fleet;
    }

    static ClaimFleet start(String name) {
        FleetSettings settings = FleetSettings.defaults()
                .withName(name)
                .withRoutersPerDataCentre(2)
                .withEngines(1, List.of(EngineSettings.small("v1")));
        ClaimFleet started = new ClaimFleet(LocalFleet.start(settings));
        started.fleet.publish(started.fleet.defaultSheet().toJson());
        started.awaitReady();
        return started;
    }

    LocalFleet localFleet() {
        return fleet;
    }

    List<FleetNode> routers() {
        return fleet.routers();
    }

    Caller caller() {
        return Caller.of(fleet);
    }

    /** Waits until every router is ready and sees all others alive. */
    void awaitReady() {
        for (FleetNode router : routers()) {
            Await.until(router.name() + " is ready", () -> isReady(router));
            Await.until(
                    router.name() + " sees the other routers alive",
                    () -> alivePeers(router) == routers().size() - 1);
        }
    }

    /** Returns how often the services started a call with each idempotency key. */
    Map<String, Integer> runsByKey() {
        Map<String, Integer> runs = new HashMap<>();
        serviceRuns().forEach(run -> runs.merge(run.path("idempotencyKey").asText(), 1, Integer::sum));
        return runs;
    }

    /** Returns the ids of the requests that the services and engines started. */
    Set<String> requestsRun() {
        Set<String> requests = new HashSet<>();
        serviceRuns().forEach(run -> requests.add(run.path("requestId").asText()));
        fleet.engines()
                .forEach(engine -> fleet.runs(engine)
                        .forEach(run -> requests.add(run.path("requestId").asText())));
        return requests;
    }

    void platformFault(String fault) {
        fleet.fault(fleet.platform(), fault);
    }

    void serviceFault(String fault) {
        fleet.services().forEach(service -> fleet.fault(service.process(), fault));
    }

    BillLedger ledger() {
        List<BillSegment> segments = new ArrayList<>();
        fleet.calls()
                .get(fleet.platform().url("http") + "/apis/baobabcart/v1/bills")
                .body()
                .path("items")
                .forEach(item -> segments.add(segment(item)));
        return BillLedger.of(segments);
    }

    @Override
    public void close() {
        fleet.close();
    }

    private static BillSegment segment(JsonNode item) {
        List<Bill> bills = new ArrayList<>();
        item.path("spec").path("bills").forEach(bill -> bills.add(MAPPER.convertValue(bill, Bill.class)));
        return new BillSegment(item.path("metadata").path("name").asText(), bills);
    }

    private List<JsonNode> serviceRuns() {
        List<JsonNode> runs = new ArrayList<>();
        fleet.services().forEach(service -> fleet.runs(service).forEach(runs::add));
        return runs;
    }

    private boolean isReady(FleetNode router) {
        return fleet.calls().get(router.admin() + "/readyz").status() == 200;
    }

    private int alivePeers(FleetNode router) {
        int alive = 0;
        JsonNode status = fleet.calls().get(router.admin() + "/status").body();
        for (JsonNode member : status.path("members")) {
            alive += member.path("state").asText().equals("ALIVE") ? 1 : 0;
        }
        return alive;
    }
}
