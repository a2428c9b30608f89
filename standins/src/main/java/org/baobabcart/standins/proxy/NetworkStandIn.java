package org.baobabcart.standins.proxy;

import io.vertx.core.Vertx;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.baobabcart.standins.base.StandInServer;
import org.baobabcart.standins.base.StandInSettings;

/**
 * Simulates the network between data centres with one proxy port per node. The data centres at both ends of a
 * connection are known, so that traffic between two data centres can be cut in one direction or both. Confined to the
 * event loop.
 *
 * <p>The data centre of a caller is derived from the loopback address from which it connects. A caller from an unknown
 * address is assigned to the data centre of the node and is never cut off. Data sent in a direction that is cut is held
 * back and delivered when the cut ends, if both sockets are still open, as by TCP retransmission.
 */
public final class NetworkStandIn extends StandInServer {
    private static final int CREATED = 201;

    private final NetClient client;
    private final Map<String, String> dataCentreByAddress = new HashMap<>();
    private final Map<String, Node> nodes = new HashMap<>();
    private final Map<ProxiedConnection, Direction> connections = new HashMap<>();
    private final Set<Direction> cuts = new HashSet<>();
    private boolean reset;

    private NetworkStandIn(Vertx vertx, StandInSettings settings) {
        super(vertx, settings);
        client = vertx.createNetClient();
    }

    /** Creates a network that is not started. */
    public static NetworkStandIn create(Vertx vertx, StandInSettings settings) {
        return new NetworkStandIn(vertx, settings);
    }

    @Override
    protected void addRoutes(Router router) {
        router.post("/nodes").handler(this::addNode);
        router.put("/nodes/:name/target").handler(this::setTarget);
        router.put("/data-centres/:address").handler(this::setDataCentre);
    }

    @Override
    protected void applyFaults(JsonObject changes) {
        super.applyFaults(changes);
        reset = changes.getBoolean("reset", false);
        cuts.clear();
        for (Object cut : changes.getJsonArray("cuts", new JsonArray())) {
            JsonObject ends = (JsonObject) cut;
            cuts.add(new Direction(ends.getString("from"), ends.getString("to")));
        }
        Map.copyOf(connections).forEach((connection, direction) -> connection.apply(faults(direction)));
    }

    private void addNode(RoutingContext context) {
        JsonObject body = context.body().asJsonObject();
        Node node = new Node(body.getString("dataCentre"));
        nodes.put(body.getString("name"), node);
        vertx().createNetServer()
                .connectHandler(caller -> accept(node, caller))
                .listen(0, LISTEN_ADDRESS)
                .map(NetServer::actualPort)
                .onSuccess(port -> respond(context, CREATED, new JsonObject().put("port", port)))
                .onFailure(context::fail);
    }

    private void setTarget(RoutingContext context) {
        nodes.get(context.pathParam("name")).targetPort =
                context.body().asJsonObject().getInteger("port");
        respond(context, 200, new JsonObject());
    }

    private void setDataCentre(RoutingContext context) {
        dataCentreByAddress.put(
                context.pathParam("address"), context.body().asJsonObject().getString("dataCentre"));
        respond(context, 200, new JsonObject());
    }

    private void accept(Node node, NetSocket caller) {
        Direction direction = new Direction(
                dataCentreByAddress.getOrDefault(caller.remoteAddress().hostAddress(), node.dataCentre),
                node.dataCentre);
        caller.pause();
        if (faults(direction).cut()) {
            Sockets.reset(caller);
            return;
        }
        client.connect(node.targetPort, LISTEN_ADDRESS)
                .onSuccess(target -> connect(direction, caller, target))
                .onFailure(ignored -> caller.close());
    }

    private void connect(Direction direction, NetSocket caller, NetSocket target) {
        ProxiedConnection connection = ProxiedConnection.of(vertx(), caller, target, connections::remove);
        connections.put(connection, direction);
        connection.apply(faults(direction));
    }

    private ProxyFaults faults(Direction direction) {
        boolean requests = cuts.contains(direction);
        boolean responses = cuts.contains(direction.reversed());
        return reset && (requests || responses) ? ProxyFaults.resetting() : ProxyFaults.holding(requests, responses);
    }

    /** A node with its own proxy port. Confined to the event loop. */
    private static final class Node {
        private final String dataCentre;
        private int targetPort;

        private Node(String dataCentre) {
            this.dataCentre = dataCentre;
        }
    }

    /** A direction of traffic, from one data centre to another. Immutable. */
    private record Direction(String from, String to) {
        Direction reversed() {
            return new Direction(to, from);
        }
    }
}
