package org.baobabcart.router.admin;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.json.MetricsModule;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.smallrye.mutiny.Uni;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import java.util.Arrays;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.baobabcart.router.control.Blackboard;
import org.baobabcart.router.control.Futures;
import org.baobabcart.router.timeline.EventType;
import org.baobabcart.router.timeline.RingTimeline;
import org.baobabcart.router.timeline.TimelineQuery;
import org.baobabcart.router.transport.ServicePort;
import org.baobabcart.router.transport.Transport;

/** Serves the operators' API over HTTP. Thread-safe; control state is read on the control thread only. */
public final class AdminApi {
    private static final ObjectMapper MAPPER = JsonMapper.builder()
            .addModule(new MetricsModule(TimeUnit.SECONDS, TimeUnit.MILLISECONDS, false))
            .build();
    private static final String JSON = "application/json";
    private static final String PROMETHEUS = "text/plain; version=0.0.4; charset=utf-8";
    private static final int OK = 200;
    private static final int ACCEPTED = 202;
    private static final int BAD_REQUEST = 400;
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final int INTERNAL_SERVER_ERROR = 500;

    private final Vertx vertx;
    private final String node;
    private final Blackboard blackboard;
    private final Executor loop;
    private final RingTimeline timeline;
    private final MetricRegistry metrics;
    private final Supplier<JsonNode> status;
    private final Runnable drain;
    private final Transport transport;
    private Optional<HttpServer> server = Optional.empty();

    private AdminApi(AdminDependencies dependencies) {
        this.vertx = dependencies.vertx();
        this.node = dependencies.node();
        this.blackboard = dependencies.blackboard();
        this.loop = dependencies.loop();
        this.timeline = dependencies.timeline();
        this.metrics = dependencies.metrics();
        this.status = dependencies.status();
        this.drain = dependencies.drain();
        this.transport = dependencies.transport();
    }

    /** Creates an API that does not listen yet. */
    public static AdminApi create(AdminDependencies dependencies) {
        return new AdminApi(dependencies);
    }

    /** Starts listening and returns the bound port. */
    public Uni<Integer> listen(String host, int port) {
        return Futures.toUni(() -> ServicePort.createServer(
                                vertx,
                                metrics,
                                ServicePort.Limits.forFewClients(),
                                transport.forMembers(new HttpServerOptions()),
                                routes())
                        .listen(port, host))
                .invoke(listening -> server = Optional.of(listening))
                .map(HttpServer::actualPort);
    }

    /** Stops listening. */
    public Uni<Void> close() {
        return server.map(open -> Futures.toUni(open::close))
                .orElseGet(() -> Uni.createFrom().voidItem());
    }

    private Router routes() {
        Router router = Router.router(vertx);
        router.route(HttpMethod.GET, "/healthz").handler(context -> text(context, OK, "ok\n"));
        router.route(HttpMethod.GET, "/readyz").handler(this::ready);
        router.route(HttpMethod.GET, "/metrics").handler(this::metrics);
        router.route(HttpMethod.GET, "/timeline").handler(this::timeline);
        router.route(HttpMethod.GET, "/status").handler(this::status);
        router.route(HttpMethod.POST, "/drain").handler(this::drain);
        return router;
    }

    private void ready(RoutingContext context) {
        onControlThread(() -> Readiness.notReadyReason(blackboard))
                .subscribe()
                .with(
                        reason -> text(
                                context, reason.isEmpty() ? OK : SERVICE_UNAVAILABLE, reason.orElse("ready") + "\n"),
                        failure -> text(context, INTERNAL_SERVER_ERROR, "failed\n"));
    }

    private void metrics(RoutingContext context) {
        if ("json".equals(context.request().getParam("format"))) {
            json(context, OK, metrics);
        } else {
            context.response().putHeader("Content-Type", PROMETHEUS).end(PrometheusText.of(metrics));
        }
    }

    private void timeline(RoutingContext context) {
        try {
            json(context, OK, new TimelineReport(node, timeline.events(query(context))));
        } catch (IllegalArgumentException exception) {
            String types = Arrays.toString(EventType.values());
            text(context, BAD_REQUEST, "since must be a whole number and type one of " + types + "\n");
        }
    }

    private static TimelineQuery query(RoutingContext context) {
        String since = context.request().getParam("since", "0");
        return new TimelineQuery(
                parameter(context, "request"),
                Long.parseLong(since),
                parameter(context, "sheet"),
                parameter(context, "type").map(EventType::valueOf));
    }

    private static Optional<String> parameter(RoutingContext context, String name) {
        return Optional.ofNullable(context.request().getParam(name)).filter(text -> !text.isEmpty());
    }

    private void status(RoutingContext context) {
        onControlThread(status)
                .subscribe()
                .with(report -> json(context, OK, report), failure -> text(context, INTERNAL_SERVER_ERROR, "failed\n"));
    }

    private void drain(RoutingContext context) {
        drain.run();
        text(context, ACCEPTED, "the planned stop has begun\n");
    }

    private <T> Uni<T> onControlThread(Supplier<T> operation) {
        return Uni.createFrom().item(operation).runSubscriptionOn(loop);
    }

    private static void json(RoutingContext context, int status, Object value) {
        try {
            context.response()
                    .setStatusCode(status)
                    .putHeader("Content-Type", JSON)
                    .end(MAPPER.writeValueAsString(value));
        } catch (JsonProcessingException exception) {
            text(context, INTERNAL_SERVER_ERROR, "failed\n");
        }
    }

    private static void text(RoutingContext context, int status, String text) {
        context.response()
                .setStatusCode(status)
                .putHeader("Content-Type", "text/plain")
                .end(text);
    }
}
