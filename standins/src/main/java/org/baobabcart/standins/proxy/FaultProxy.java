package org.baobabcart.standins.proxy;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.json.JsonObject;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import io.vertx.core.net.SocketAddress;
import io.vertx.ext.web.Router;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.baobabcart.standins.base.StandInServer;
import org.baobabcart.standins.base.StandInSettings;

/** TCP proxy in front of one target. Its faults are set over HTTP on a separate port. Confined to the event loop. */
public final class FaultProxy extends StandInServer {
    private final NetClient client;
    private final Set<ProxiedConnection> connections = new HashSet<>();
    private ProxyFaults faults = ProxyFaults.none();

    private FaultProxy(Vertx vertx, StandInSettings settings) {
        super(vertx, settings);
        client = vertx.createNetClient();
    }

    /** Creates a proxy that is not started. */
    public static FaultProxy create(Vertx vertx, StandInSettings settings) {
        return new FaultProxy(vertx, settings);
    }

    @Override
    public Future<Map<String, Integer>> start() {
        Future<NetServer> proxy = vertx().createNetServer()
                .connectHandler(this::accept)
                .listen(settings().proxyPort(), LISTEN_ADDRESS);
        return proxy.compose(
                server -> super.start().map(ports -> Map.of("http", ports.get("http"), "proxy", server.actualPort())));
    }

    @Override
    protected void addRoutes(Router router) {
        router.get("/standin/links")
                .handler(context -> respond(context, 200, new JsonObject().put("open", connections.size())));
    }

    @Override
    protected void applyFaults(JsonObject changes) {
        faults = faults.with(changes);
        if (changes.getBoolean("silent-connections", false)) {
            connections.forEach(ProxiedConnection::silence);
        }
        List.copyOf(connections).forEach(connection -> connection.apply(faults));
    }

    private void accept(NetSocket caller) {
        if (faults.cut()) {
            if (faults.reset()) {
                Sockets.reset(caller);
            } else {
                caller.close();
            }
            return;
        }
        caller.pause();
        client.connect(SocketAddress.inetSocketAddress(targetPort(), targetHost()))
                .onSuccess(target -> connect(caller, target))
                .onFailure(ignored -> caller.close());
    }

    private void connect(NetSocket caller, NetSocket target) {
        ProxiedConnection connection = ProxiedConnection.of(vertx(), caller, target, connections::remove);
        connections.add(connection);
        connection.apply(faults);
    }

    private String targetHost() {
        return settings().target().substring(0, settings().target().lastIndexOf(':'));
    }

    private int targetPort() {
        return Integer.parseInt(
                settings().target().substring(settings().target().lastIndexOf(':') + 1));
    }
}
