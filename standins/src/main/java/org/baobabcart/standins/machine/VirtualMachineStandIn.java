package org.baobabcart.standins.machine;

import io.vertx.core.Vertx;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.baobabcart.standins.base.FaultValues;
import org.baobabcart.standins.base.StandInServer;
import org.baobabcart.standins.base.StandInSettings;

/** The list of live and leaving VMs, whose changes may show late or wrongly. Confined to the event loop. */
public final class VirtualMachineStandIn extends StandInServer {
    private static final String STATE = "state";

    private final Map<String, JsonObject> shown = new TreeMap<>();
    private final Map<String, JsonObject> everKnown = new TreeMap<>();
    private final Set<String> wrong = new TreeSet<>();
    private long lagMillis;

    private VirtualMachineStandIn(Vertx vertx, StandInSettings settings) {
        super(vertx, settings);
    }

    /** A list that has not started yet. */
    public static VirtualMachineStandIn create(Vertx vertx, StandInSettings settings) {
        return new VirtualMachineStandIn(vertx, settings);
    }

    @Override
    protected void addRoutes(Router router) {
        router.get("/vms").handler(this::list);
        router.put("/vms/:name").handler(this::put);
        router.delete("/vms/:name").handler(this::remove);
    }

    @Override
    protected void applyFaults(JsonObject faults) {
        super.applyFaults(faults);
        lagMillis = FaultValues.whole(faults, "lag", lagMillis);
        if (faults.getValue("wrong") instanceof JsonArray names) {
            wrong.clear();
            names.forEach(name -> wrong.add(name.toString()));
        } else if (faults.containsKey("wrong")) {
            wrong.clear();
        }
    }

    private void list(RoutingContext context) {
        Map<String, JsonObject> entries = new TreeMap<>(shown);
        wrong.stream().filter(everKnown::containsKey).forEach(name -> entries.put(name, live(everKnown.get(name))));
        JsonArray array = new JsonArray();
        entries.values().forEach(array::add);
        answer(context, 200, new JsonObject().put("virtualMachines", array));
    }

    private void put(RoutingContext context) {
        String name = context.pathParam("name");
        JsonObject entry = context.body().asJsonObject();
        everKnown.put(name, entry);
        afterLag(() -> shown.put(name, entry));
        answer(context, 200, entry);
    }

    private void remove(RoutingContext context) {
        String name = context.pathParam("name");
        afterLag(() -> shown.remove(name));
        answer(context, 200, new JsonObject());
    }

    private void afterLag(Runnable change) {
        if (lagMillis == 0) {
            change.run();
        } else {
            vertx().setTimer(lagMillis, ignored -> change.run());
        }
    }

    private static JsonObject live(JsonObject entry) {
        return entry.copy().put(STATE, "LIVE");
    }
}
