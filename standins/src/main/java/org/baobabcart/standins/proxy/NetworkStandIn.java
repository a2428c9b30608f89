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
 * The network between data centres: a port before each node, which knows the data centre of a connection's two ends and
 * can cut data centres apart in one direction or both. Confined to the event loop.
 *
 * <p>The data centre of a caller follows from the loopback address that its connection comes from; a caller from an
 * address that is not known stands beside the node and is never cut off. Bytes that travel in a direction that is cut
 * are held and arrive when it heals, if both ends still want them, as TCP's repeats would.
 */
public final class NetworkStandIn extends StandInServer {
    private static final int CREATED = 201;

    private final NetClient client;
    private final Map<String, String> dataCentreByAddress = new HashMap<>();
    private final Map<String, Node> nodes = new HashMap<>();
    private final Map<ProxiedConnection, Route> links = new HashMap<>();
    private final Set<Route> cuts = new HashSet<>();
    private boolean reset;

    private NetworkStandIn(Vertx vertx, StandInSettings settings) {
        super(vertx, settings);
        client = vertx.createNetClient();
    }

    /** A network that has not started yet. */
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
            cuts.add(new Route(ends.getString("from"), ends.getString("to")));
        }
        Map.copyOf(links).forEach((link, route) -> link.apply(faults(route)));
    }

    private void addNode(RoutingContext context) {
        JsonObject body = context.body().asJsonObject();
        Node node = new Node(body.getString("dataCentre"));
        nodes.put(body.getString("name"), node);
        vertx().createNetServer()
                .connectHandler(caller -> accept(node, caller))
                .listen(0, LISTEN_ADDRESS)
                .map(NetServer::actualPort)
                .onSuccess(port -> answer(context, CREATED, new JsonObject().put("port", port)))
                .onFailure(context::fail);
    }

    private void setTarget(RoutingContext context) {
        nodes.get(context.pathParam("name")).targetPort =
                context.body().asJsonObject().getInteger("port");
        answer(context, 200, new JsonObject());
    }

    private void setDataCentre(RoutingContext context) {
        dataCentreByAddress.put(
                context.pathParam("address"), context.body().asJsonObject().getString("dataCentre"));
        answer(context, 200, new JsonObject());
    }

    private void accept(Node node, NetSocket caller) {
        Route route = new Route(
                dataCentreByAddress.getOrDefault(caller.remoteAddress().hostAddress(), node.dataCentre),
                node.dataCentre);
        caller.pause();
        if (faults(route).cut()) {
            Sockets.reset(caller);
            return;
        }
        client.connect(node.targetPort, LISTEN_ADDRESS)
                .onSuccess(target -> join(route, caller, target))
                .onFailure(ignored -> caller.close());
    }

    private void join(Route route, NetSocket caller, NetSocket target) {
        ProxiedConnection link = ProxiedConnection.of(vertx(), caller, target, links::remove);
        links.put(link, route);
        link.apply(faults(route));
    }

    private ProxyFaults faults(Route route) {
        boolean requests = cuts.contains(route);
        boolean answers = cuts.contains(route.back());
        return reset && (requests || answers) ? ProxyFaults.resetting() : ProxyFaults.holding(requests, answers);
    }

    /** A node behind a port of its own. Confined to the event loop. */
    private static final class Node {
        private final String dataCentre;
        private int targetPort;

        private Node(String dataCentre) {
            this.dataCentre = dataCentre;
        }
    }

    /** The way from one data centre to another. Immutable. */
    private record Route(String from, String to) {
        Route back() {
            return new Route(to, from);
        }
    }
}
