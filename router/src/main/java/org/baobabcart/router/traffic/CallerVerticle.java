package org.baobabcart.router.traffic;

import io.vertx.core.Future;
import io.vertx.core.VerticleBase;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.baobabcart.model.request.Headers;
import org.baobabcart.model.request.RequestIds;
import org.baobabcart.model.result.BaobabcartException;
import org.baobabcart.model.result.ResultCode;
import org.baobabcart.router.exchange.BodyReader;
import org.baobabcart.router.exchange.CallerExchange;
import org.baobabcart.router.exchange.ConnectionGuard;
import org.baobabcart.router.exchange.InvalidRequests;
import org.baobabcart.router.exchange.RunningRequests;
import org.baobabcart.router.timeline.EventField;
import org.baobabcart.router.timeline.EventFields;
import org.baobabcart.router.timeline.EventType;
import org.baobabcart.router.transport.Connections;

/**
 * Serves the caller API on one event loop.
 *
 * <p>A request with a chunked body is the last one on its connection. If the head contains a content length as well, the parser
 * drops that length, and bytes after the last chunk could be parsed as a request that the caller never made (request smuggling).
 */
final class CallerVerticle extends VerticleBase {
    private static final int REQUEST_LINE_BYTES = 8 * 1024;

    private final TrafficRuntime runtime;
    private final String host;
    private final int port;
    private final RunningRequests running = RunningRequests.create();
    private ConnectionGuard connectionGuard;
    private HttpServer server;

    private CallerVerticle(TrafficRuntime runtime, String host, int port) {
        this.runtime = runtime;
        this.host = host;
        this.port = port;
    }

    static CallerVerticle create(TrafficRuntime runtime, String host, int port) {
        return new CallerVerticle(runtime, host, port);
    }

    int actualPort() {
        return server.actualPort();
    }

    @Override
    public Future<?> start() {
        Router routes = routes();
        TrafficSettings.Timeouts timeouts = runtime.settings().timeouts();
        ConnectionGuard.Limits connectionLimits = new ConnectionGuard.Limits(
                runtime.settings().limits().headerBytes(), timeouts.request(), timeouts.idleConnection());
        connectionGuard = ConnectionGuard.create(runtime.exchanges(), runtime.clientMemory(), () -> connectionLimits);
        HttpServerOptions options = new HttpServerOptions()
                .setMaxHeaderSize(runtime.settings().limits().headerBytes())
                .setMaxInitialLineLength(REQUEST_LINE_BYTES)
                .setHttp2ClearTextEnabled(false)
                .setPerFrameWebSocketCompressionSupported(false)
                .setPerMessageWebSocketCompressionSupported(false)
                .setHandle100ContinueAutomatically(true)
                .setTcpNoDelay(true)
                .setTcpKeepAlive(true);
        server = vertx.createHttpServer(runtime.settings().transport().forCallers(options))
                .connectionHandler(connectionGuard::connectionOpened)
                .invalidRequestHandler(this::refuseInvalid)
                .requestHandler(request -> handle(routes, request));
        return server.listen(port, host);
    }

    /** Stops accepting connections and waits until the open connections are closed. */
    Future<Void> shutdown(Duration timeout) {
        return server.shutdown(timeout.toMillis(), TimeUnit.MILLISECONDS);
    }

    /** Answers the requests that still run, because the process ends now. */
    void endRunning() {
        running.endAll();
    }

    private void handle(Router routes, HttpServerRequest request) {
        if (connectionGuard.isReuseForbidden(request.connection())) {
            Connections.abort(request.connection());
            return;
        }
        if (request.headers().contains(HttpHeaders.TRANSFER_ENCODING)) {
            connectionGuard.markLastRequest(request.connection());
        }
        routes.handle(request);
    }

    private Router routes() {
        Router router = Router.router(vertx);
        for (ModelRequest.Kind kind : ModelRequest.Kind.values()) {
            router.route(HttpMethod.POST, kind.path()).handler(routing -> withBody(routing, modelHandler(kind)));
            router.route(kind.path()).handler(routing -> refuse(routing, ResultCode.METHOD_NOT_ALLOWED));
        }
        router.route(HttpMethod.GET, "/v1/models").handler(this::listModels);
        router.route("/v1/models").handler(routing -> refuse(routing, ResultCode.METHOD_NOT_ALLOWED));
        router.route("/services/*").handler(routing -> withBody(routing, serviceHandler(routing)));
        router.route().handler(routing -> refuse(routing, ResultCode.UNKNOWN_PATH));
        router.errorHandler(ResultCode.BAD_REQUEST.httpStatus(), routing -> refuse(routing, ResultCode.BAD_REQUEST));
        router.errorHandler(ResultCode.UNKNOWN_PATH.httpStatus(), routing -> refuse(routing, ResultCode.UNKNOWN_PATH));
        router.errorHandler(ResultCode.INTERNAL.httpStatus(), routing -> refuse(routing, ResultCode.INTERNAL));
        return router;
    }

    private BodyHandler modelHandler(ModelRequest.Kind kind) {
        return (exchange, context, body) -> {
            ModelRequest request = ModelRequest.parse(kind, body);
            return ModelRequestExecution.create(runtime, exchange, context, request)
                    .run();
        };
    }

    private BodyHandler serviceHandler(RoutingContext routing) {
        return (exchange, context, body) -> {
            ServicePath path = ServicePath.parse(routing.normalizedPath());
            return ServiceRequestExecution.create(runtime, exchange, context, path, body)
                    .run();
        };
    }

    private void listModels(RoutingContext routing) {
        CallerExchange exchange = startExchange(routing.request());
        try {
            ModelList.send(
                    exchange, context(exchange), runtime.dependencies().views().current());
        } catch (RuntimeException failure) {
            exchange.fail(failure);
        }
    }

    private void withBody(RoutingContext routing, BodyHandler handler) {
        CallerExchange exchange = startExchange(routing.request());
        CallerContext context;
        try {
            context = context(exchange);
        } catch (RuntimeException failure) {
            exchange.failUnread(failure);
            return;
        }
        TrafficSettings settings = runtime.settings();
        BodyReader.Sender sender =
                new BodyReader.Sender(context.rankIndex(), context.workspace().name());
        runtime.bodies()
                .read(
                        exchange,
                        sender,
                        settings.limits().bodyBytes(),
                        settings.timeouts().request())
                .onFailure(exchange::failUnread)
                .onSuccess(body -> run(exchange, context, body, handler));
    }

    private void run(CallerExchange exchange, CallerContext context, Buffer body, BodyHandler handler) {
        exchange.startDeadline(context.deadlineNanos());
        try {
            handler.handle(exchange, context, body).onFailure(exchange::fail);
        } catch (RuntimeException failure) {
            exchange.fail(failure);
        }
    }

    private CallerContext context(CallerExchange exchange) {
        return CallerContext.read(
                runtime.dependencies().views().current(), runtime.settings(), exchange.request(), System.nanoTime());
    }

    private CallerExchange startExchange(HttpServerRequest request) {
        connectionGuard.requestBegan(request.connection());
        runtime.drain().requestBegan();
        CallerExchange exchange = CallerExchange.create(
                runtime.exchanges(),
                request,
                () -> isStopping()
                        || connectionGuard.isReuseForbidden(request.connection())
                        || !connectionGuard.isReuseAllowed(),
                () -> requestEnded(request),
                () -> connectionGuard.responseWritten(request.connection()));
        running.add(vertx, exchange);
        exchange.setRequestId(RequestIds.next());
        request.response().putHeader(Headers.REQUEST_ID, exchange.requestId());
        exchange.record(
                EventType.REQUEST_RECEIVED,
                EventFields.of(EventField.METHOD, request.method().name()).with(EventField.PATH, request.path()));
        return exchange;
    }

    private boolean isStopping() {
        return runtime.drain().isDraining()
                || runtime.dependencies().views().current().stopping();
    }

    private void requestEnded(HttpServerRequest request) {
        runtime.drain().requestEnded();
        connectionGuard.requestEnded(request.connection());
    }

    private void refuse(RoutingContext routing, ResultCode code) {
        if (!routing.response().ended()) {
            startExchange(routing.request()).failUnread(BaobabcartException.of(code));
        }
    }

    private void refuseInvalid(HttpServerRequest request) {
        startExchange(request).failUnread(BaobabcartException.of(InvalidRequests.code(request)));
    }

    /** Handles a request after its body has been read. */
    @FunctionalInterface
    private interface BodyHandler {
        Future<Void> handle(CallerExchange exchange, CallerContext context, Buffer body);
    }
}
