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

/**
 * Stand-in for the platform's list of live and leaving VMs. Faults delay its changes or list removed or leaving VMs as
 * live. Confined to the event loop.
 */
public final class VirtualMachineStandIn extends StandInServer {
    private static final String STATE = "state";

    private final Map<String, JsonObject> listed = new TreeMap<>();
    private final Map<String, JsonObject> lastReceived = new TreeMap<>();
    private final Set<String> forcedLive = new TreeSet<>();
    private long lagMillis;

    private VirtualMachineStandIn(Vertx vertx, StandInSettings settings) {
        super(vertx, settings);
    }

    /** Creates a list that is not started. */
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
        lagMillis = FaultValues.wholeNumber(faults, "lag", lagMillis);
        if (faults.getValue("wrong") instanceof JsonArray names) {
            forcedLive.clear();
            names.forEach(name -> forcedLive.add(name.toString()));
        } else if (faults.containsKey("wrong")) {
            forcedLive.clear();
        }
    }

    private void list(RoutingContext context) {
        Map<String, JsonObject> entries = new TreeMap<>(listed);
        forcedLive.stream()
                .filter(lastReceived::containsKey)
                .forEach(name -> entries.put(name, asLive(lastReceived.get(name))));
        JsonArray array = new JsonArray();
        entries.values().forEach(array::add);
        respond(context, 200, new JsonObject().put("virtualMachines", array));
    }

    private void put(RoutingContext context) {
        String name = context.pathParam("name");
        JsonObject entry = context.body().asJsonObject();
        lastReceived.put(name, entry);
        afterLag(() -> listed.put(name, entry));
        respond(context, 200, entry);
    }

    private void remove(RoutingContext context) {
        String name = context.pathParam("name");
        afterLag(() -> listed.remove(name));
        respond(context, 200, new JsonObject());
    }

    private void afterLag(Runnable change) {
        if (lagMillis == 0) {
            change.run();
        } else {
            vertx().setTimer(lagMillis, ignored -> change.run());
        }
    }

    private static JsonObject asLive(JsonObject entry) {
        return entry.copy().put(STATE, "LIVE");
    }
}
