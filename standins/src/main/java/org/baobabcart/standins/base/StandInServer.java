package org.baobabcart.standins.base;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import io.vertx.ext.web.handler.BodyHandler;
import java.util.Map;

/**
 * The HTTP server of a stand-in with its list of runs and its faults.
 *
 * <p>All state of subclasses is confined to the one event loop of the process.
 */
public abstract class StandInServer {
    /** The loopback address that every stand-in binds. */
    public static final String LISTEN_ADDRESS = "127.0.0.1";

    private static final long BODY_LIMIT_BYTES = 8L * 1024 * 1024;
    private static final int MAXIMUM_HEADER_BYTES = 64 * 1024;
    private static final String CONTROL_PREFIX = "/standin/";

    private final Vertx vertx;
    private final StandInSettings settings;
    private final ConnectionTracker connections = new ConnectionTracker();
    private final RunLog runs = new RunLog();
    private boolean outage;

    /** A server that has not started yet. */
    protected StandInServer(Vertx vertx, StandInSettings settings) {
        this.vertx = vertx;
        this.settings = settings;
    }

    /** Starts to listen; the result maps names of ports to their numbers. */
    public Future<Map<String, Integer>> start() {
        HttpServerOptions options = new HttpServerOptions().setMaxHeaderSize(MAXIMUM_HEADER_BYTES);
        return vertx.createHttpServer(options)
                .connectionHandler(connections::opened)
                .requestHandler(router())
                .listen(settings.port(), LISTEN_ADDRESS)
                .map(this::ports);
    }

    /** Adds the routes of the role. */
    protected abstract void addRoutes(Router router);

    /** Takes faults; subclasses handle the ones they know and call this method for the common ones. */
    protected void applyFaults(JsonObject faults) {
        if (faults.containsKey("outage")) {
            setOutage(faults.getBoolean("outage"));
            long seconds = FaultValues.whole(faults, "seconds", 0);
            if (outage && seconds > 0) {
                vertx.setTimer(seconds * 1000, ignored -> setOutage(false));
            }
        }
    }

    /** Called when an outage begins. */
    protected void outageBegan() {}

    /** The Vert.x instance of the process. */
    protected final Vertx vertx() {
        return vertx;
    }

    /** The settings of the process. */
    protected final StandInSettings settings() {
        return settings;
    }

    /** The requests that were begun. */
    protected final RunLog runs() {
        return runs;
    }

    /** Whether nothing may be sent on the context's connection any more. */
    protected final boolean isSilent(RoutingContext context) {
        return connections.isSilent(context.request().connection());
    }

    /** Sends a JSON answer, unless the connection has gone silent or is gone. */
    protected final void answer(RoutingContext context, int status, JsonObject body) {
        answer(context, status, body.encode());
    }

    /** Sends a JSON text as the answer, unless the connection has gone silent or is gone. */
    protected final void answer(RoutingContext context, int status, String json) {
        if (isSilent(context)
                || context.response().closed()
                || context.response().ended()) {
            return;
        }
        context.response()
                .setStatusCode(status)
                .putHeader("Content-Type", "application/json")
                .end(json);
    }

    private Router router() {
        Router router = Router.router(vertx);
        router.route().handler(this::gate);
        router.route().handler(BodyHandler.create(false).setBodyLimit(BODY_LIMIT_BYTES));
        router.get("/standin/runs")
                .handler(context -> answer(context, 200, runs.toJson().encode()));
        router.post("/standin/faults").handler(this::takeFaults);
        addRoutes(router);
        return router;
    }

    private void gate(RoutingContext context) {
        if (isSilent(context)) {
            return;
        }
        if (outage && !context.request().path().startsWith(CONTROL_PREFIX)) {
            context.request().connection().close();
            return;
        }
        context.next();
    }

    private void takeFaults(RoutingContext context) {
        JsonObject faults = context.body().asJsonObject();
        answer(context, 200, new JsonObject());
        if (faults.getBoolean("silent-connections", false)) {
            connections.silenceOpenExcept(context.request().connection());
        }
        applyFaults(faults);
    }

    private void setOutage(boolean newOutage) {
        outage = newOutage;
        if (outage) {
            outageBegan();
        }
    }

    private Map<String, Integer> ports(HttpServer server) {
        return Map.of("http", server.actualPort());
    }
}
