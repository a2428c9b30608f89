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
 * Base class of all stand-ins: an HTTP server with a log of started requests and fault injection.
 *
 * <p>All state of subclasses is confined to the single event loop of the process.
 */
public abstract class StandInServer {
    /** The loopback address that every stand-in binds to. */
    public static final String LISTEN_ADDRESS = "127.0.0.1";

    private static final long MAX_BODY_BYTES = 8L * 1024 * 1024;
    private static final int MAX_HEADER_BYTES = 64 * 1024;
    private static final String CONTROL_PREFIX = "/standin/";

    private final Vertx vertx;
    private final StandInSettings settings;
    private final ConnectionTracker connections = new ConnectionTracker();
    private final RunLog runs = new RunLog();
    private boolean outage;

    /** Creates a server that is not started. */
    protected StandInServer(Vertx vertx, StandInSettings settings) {
        this.vertx = vertx;
        this.settings = settings;
    }

    /** Starts to listen. The result maps port names to port numbers. */
    public Future<Map<String, Integer>> start() {
        HttpServerOptions options = new HttpServerOptions().setMaxHeaderSize(MAX_HEADER_BYTES);
        return vertx.createHttpServer(options)
                .connectionHandler(connections::add)
                .requestHandler(router())
                .listen(settings.port(), LISTEN_ADDRESS)
                .map(this::ports);
    }

    /** Adds the routes of the subclass. */
    protected abstract void addRoutes(Router router);

    /** Applies faults. Subclasses override this method for their own faults and call it for the common ones. */
    protected void applyFaults(JsonObject faults) {
        if (faults.containsKey("outage")) {
            setOutage(faults.getBoolean("outage"));
            long seconds = FaultValues.wholeNumber(faults, "seconds", 0);
            if (outage && seconds > 0) {
                vertx.setTimer(seconds * 1000, ignored -> setOutage(false));
            }
        }
    }

    /** Called when an outage starts. Does nothing by default. */
    protected void onOutageStart() {}

    /** Returns the Vert.x instance of the process. */
    protected final Vertx vertx() {
        return vertx;
    }

    /** Returns the settings of the process. */
    protected final StandInSettings settings() {
        return settings;
    }

    /** Returns the log of started requests. */
    protected final RunLog runs() {
        return runs;
    }

    /** Returns whether nothing may be sent on the context's connection any more. */
    protected final boolean isSilent(RoutingContext context) {
        return connections.isSilent(context.request().connection());
    }

    /** Sends a JSON response unless the connection is silenced or the response is closed or ended. */
    protected final void respond(RoutingContext context, int status, JsonObject body) {
        respond(context, status, body.encode());
    }

    /** Sends JSON text as the response unless the connection is silenced or the response is closed or ended. */
    protected final void respond(RoutingContext context, int status, String json) {
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
        router.route().handler(this::applyConnectionFaults);
        router.route().handler(BodyHandler.create(false).setBodyLimit(MAX_BODY_BYTES));
        router.get("/standin/runs")
                .handler(context -> respond(context, 200, runs.toJson().encode()));
        router.post("/standin/faults").handler(this::setFaults);
        addRoutes(router);
        return router;
    }

    private void applyConnectionFaults(RoutingContext context) {
        if (isSilent(context)) {
            return;
        }
        if (outage && !context.request().path().startsWith(CONTROL_PREFIX)) {
            context.request().connection().close();
            return;
        }
        context.next();
    }

    private void setFaults(RoutingContext context) {
        JsonObject faults = context.body().asJsonObject();
        respond(context, 200, new JsonObject());
        if (faults.getBoolean("silent-connections", false)) {
            connections.silenceAllExcept(context.request().connection());
        }
        applyFaults(faults);
    }

    private void setOutage(boolean newOutage) {
        outage = newOutage;
        if (outage) {
            onOutageStart();
        }
    }

    private Map<String, Integer> ports(HttpServer server) {
        return Map.of("http", server.actualPort());
    }
}
