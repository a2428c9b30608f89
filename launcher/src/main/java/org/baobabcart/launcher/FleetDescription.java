package org.baobabcart.launcher;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** Describes a running fleet as JSON for external checks and load tools. */
final class FleetDescription {
    private static final JsonNodeFactory NODES = JsonNodeFactory.instance;

    private FleetDescription() {}

    static ObjectNode of(LocalFleet fleet) {
        ObjectNode description = NODES.objectNode();
        description.put("platform", fleet.platform().url("http"));
        description.put("virtualMachines", fleet.virtualMachines().url("http"));
        description.put("ratings", fleet.ratings().url("http"));
        ArrayNode routers = description.putArray("routers");
        fleet.routers().forEach(router -> routers.add(router(router)));
        ArrayNode upstreams = description.putArray("upstreams");
        fleet.engines().forEach(engine -> upstreams.add(upstream(engine, "engine")));
        fleet.services().forEach(service -> upstreams.add(upstream(service, "service")));
        ArrayNode workspaces = description.putArray("workspaces");
        fleet.defaultSheet().workspaces().forEach(workspace -> workspaces.add(workspace(workspace)));
        return description;
    }

    private static ObjectNode router(FleetNode router) {
        return NODES.objectNode()
                .put("name", router.name())
                .put("dataCentre", router.dataCentre())
                .put("caller", router.caller())
                .put("admin", router.admin())
                .put("pid", router.process().pid());
    }

    private static ObjectNode upstream(FleetNode upstream, String kind) {
        return NODES.objectNode()
                .put("name", upstream.name())
                .put("kind", kind)
                .put("model", upstream.machine().model())
                .put("version", upstream.machine().version())
                .put("service", upstream.machine().service())
                .put("dataCentre", upstream.dataCentre())
                .put("url", upstream.http())
                .put("pid", upstream.process().pid());
    }

    private static ObjectNode workspace(FleetWorkspace workspace) {
        ObjectNode node = NODES.objectNode().put("name", workspace.name()).put("key", workspace.key());
        ArrayNode models = node.putArray("models");
        workspace.models().forEach(models::add);
        ArrayNode services = node.putArray("services");
        workspace.services().forEach(services::add);
        return node;
    }
}
