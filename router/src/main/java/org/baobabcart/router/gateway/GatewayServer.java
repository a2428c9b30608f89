package org.baobabcart.router.gateway;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.baobabcart.model.gateway.CallerLimits;
import org.baobabcart.model.gateway.RouteTable;
import org.baobabcart.model.result.BaobabcartException;
import org.baobabcart.model.result.ResultCode;
import org.baobabcart.router.exchange.BodyReader;
import org.baobabcart.router.exchange.CallerExchange;
import org.baobabcart.router.exchange.ConnectionGuard;
import org.baobabcart.router.exchange.DrainState;
import org.baobabcart.router.exchange.InvalidRequests;
import org.baobabcart.router.exchange.RunningRequests;
import org.baobabcart.router.timeline.EventField;
import org.baobabcart.router.timeline.EventFields;
import org.baobabcart.router.timeline.EventType;
import org.baobabcart.router.transport.Connections;
import org.baobabcart.router.view.TrafficView;

/**
 * HTTP server for callers of the opaque request path. Its handlers are confined to one event loop.
 *
 * <p>A request with a chunked body is the last one on its connection. If the head contains a content length as well, the parser
 * drops that length, and bytes after the last chunk could be parsed as a request that the caller never made (request smuggling).
 */
final class GatewayServer {
    private static final int REQUEST_LINE_BYTES = 8 * 1024;
    /** The parser's limit, which applies to operators who set none or a greater one; smaller ones are checked before. */
    private static final int PARSER_HEADER_BYTES = 64 * 1024;

    private static final int LISTEN_BACKLOG = 1024;
    private static final String CHUNKED = "chunked";
    /** Limits that apply until the first route table is loaded. */
    private static final CallerLimits DEFAULT_LIMITS =
            new CallerLimits(16 * 1024, 4 * 1024 * 1024, Duration.ofSeconds(3), Duration.ofSeconds(15));

    private final GatewayRuntime runtime;
    private final DrainState drain;
    private final ConnectionGuard guard;
    private final RunningRequests running = RunningRequests.create();

    private HttpServer server;
    /** The context of the event loop on which all connections are handled. */
    private volatile Optional<Context> context = Optional.empty();

    private volatile boolean rejecting;

    private GatewayServer(GatewayRuntime runtime, DrainState drain) {
        this.runtime = runtime;
        this.drain = drain;
        this.guard = ConnectionGuard.create(runtime.exchanges(), runtime.clientMemory(), this::connectionLimits);
    }

    /** Returns the operator's limits. No request fits into a head of 0 bytes or 0 ms, so that these leave the default in force. */
    private ConnectionGuard.Limits connectionLimits() {
        CallerLimits limits = limits();
        return new ConnectionGuard.Limits(
                limits.maxHeaderBytes() == 0
                        ? DEFAULT_LIMITS.maxHeaderBytes()
                        : Math.min(PARSER_HEADER_BYTES, limits.maxHeaderBytes()),
                limits.headerTimeout().isZero() ? DEFAULT_LIMITS.headerTimeout() : limits.headerTimeout(),
                limits.idleTimeout());
    }

    static GatewayServer create(GatewayRuntime runtime, DrainState drain) {
        return new GatewayServer(runtime, drain);
    }

    Future<Integer> listen(String host, int port) {
        HttpServerOptions options = new HttpServerOptions()
                .setMaxHeaderSize(PARSER_HEADER_BYTES)
                .setMaxInitialLineLength(REQUEST_LINE_BYTES)
                .setHttp2ClearTextEnabled(false)
                .setPerFrameWebSocketCompressionSupported(false)
                .setPerMessageWebSocketCompressionSupported(false)
                .setHandle100ContinueAutomatically(true)
                .setAcceptBacklog(LISTEN_BACKLOG)
                .setTcpNoDelay(true)
                .setTcpKeepAlive(true);
        server = runtime.vertx()
                .createHttpServer(options)
                .connectionHandler(this::connectionOpened)
                .invalidRequestHandler(this::rejectInvalid)
                .requestHandler(this::handle);
        return server.listen(port, host).map(HttpServer::actualPort);
    }

    private void connectionOpened(HttpConnection connection) {
        context = Optional.of(runtime.vertx().getOrCreateContext());
        guard.connectionOpened(connection);
    }

    /** Closes the connections on which callers have no request. */
    void closeIdleConnections() {
        context.ifPresent(known -> known.runOnContext(ignored -> guard.closeIdle()));
    }

    /** Rejects all requests that arrive from now on. */
    void rejectNewRequests() {
        rejecting = true;
    }

    /** Answers the requests that still run, because the process ends now. */
    void endRunning() {
        running.endAll();
    }

    /** Stops accepting connections and waits until the open ones are closed. */
    Future<Void> shutdown(Duration timeout) {
        return server.shutdown(timeout.toMillis(), TimeUnit.MILLISECONDS);
    }

    private CallerLimits limits() {
        return runtime.attempts()
                .views()
                .current()
                .routes()
                .map(RouteTable::limits)
                .orElse(DEFAULT_LIMITS);
    }

    private void handle(HttpServerRequest request) {
        if (guard.isReuseForbidden(request.connection())) {
            Connections.abort(request.connection());
            return;
        }
        guard.requestBegan(request.connection());
        drain.requestBegan();
        boolean chunked = request.headers().contains(HttpHeaders.TRANSFER_ENCODING);
        if (chunked) {
            guard.markLastRequest(request.connection());
        }
        CallerExchange exchange = CallerExchange.create(
                runtime.exchanges(),
                request,
                () -> chunked
                        || drain.isDraining()
                        || !guard.isReuseAllowed()
                        || runtime.reachability().isIsolated(),
                () -> requestEnded(request),
                () -> guard.responseWritten(request.connection()));
        running.add(runtime.vertx(), exchange);
        try {
            begin(exchange, request);
        } catch (RuntimeException failure) {
            exchange.failUnread(failure);
        }
    }

    private void requestEnded(HttpServerRequest request) {
        drain.requestEnded();
        guard.requestEnded(request.connection());
    }

    private void begin(CallerExchange exchange, HttpServerRequest request) {
        checkHead(request);
        RequestHead head = runtime.codec().decode(request);
        exchange.setRequestId(head.id());
        if (rejecting) {
            throw BaobabcartException.of(ResultCode.STOPPING);
        }
        RouteMatch match = matchRoute(exchange, head);
        Duration maxWait = maxWait(match, head);
        if (maxWait.isZero()) {
            throw BaobabcartException.of(ResultCode.DEADLINE_UNREACHABLE);
        }
        exchange.addEndAction(() -> runtime.requestMetrics().recordRequest(match, exchange));
        long deadlineNanos = exchange.startNanos() + maxWait.toNanos();
        BodyReader.Sender sender = new BodyReader.Sender(match.rank(), match.workspace());
        runtime.bodies()
                .read(exchange, sender, limits().maxBodyBytes(), maxWait)
                .onSuccess(body -> run(exchange, head, match, body, deadlineNanos))
                .onFailure(exchange::failUnread);
    }

    /** Matches the request against the route table and records the request, also if it is rejected. */
    private RouteMatch matchRoute(CallerExchange exchange, RequestHead head) {
        TrafficView view = runtime.attempts().views().current();
        exchange.setGeneration(view.generation());
        EventFields received = EventFields.of(EventField.METHOD, head.method().name())
                .with(EventField.PATH, head.path())
                .with(EventField.GENERATION, view.generation());
        try {
            RouteMatch match = RouteMatch.of(view, head);
            exchange.record(
                    EventType.REQUEST_RECEIVED,
                    received.with(EventField.ROUTE, match.route().name())
                            .with(EventField.RANK, match.rank())
                            .with(EventField.WORKSPACE, match.workspace())
                            .with(EventField.DEADLINE_MS, maxWait(match, head).toMillis()));
            return match;
        } catch (BaobabcartException rejection) {
            exchange.record(EventType.REQUEST_RECEIVED, received);
            throw rejection;
        }
    }

    /** Returns how long the caller waits: its own deadline, limited to the route's timeout. */
    private static Duration maxWait(RouteMatch match, RequestHead head) {
        Duration timeout = match.route().timeout();
        return head.deadline()
                .filter(requested -> requested.compareTo(timeout) < 0)
                .orElse(timeout);
    }

    private void run(
            CallerExchange exchange, RequestHead head, RouteMatch matchAtHead, Buffer body, long deadlineNanos) {
        if (exchange.isEnded()) {
            return;
        }
        try {
            RouteMatch match = matchAtHead.refreshed(runtime.attempts().views().current(), head);
            GatewayRequestExecution.create(runtime, exchange, head, match, body, deadlineNanos)
                    .start();
        } catch (RuntimeException failure) {
            exchange.fail(failure);
        }
    }

    private void checkHead(HttpServerRequest request) {
        String encoding = request.getHeader(HttpHeaders.TRANSFER_ENCODING);
        if (encoding != null && !CHUNKED.equalsIgnoreCase(encoding.strip())) {
            throw BaobabcartException.of(ResultCode.BAD_HEADER, "only the transfer encoding chunked is supported");
        }
    }

    /** Responds to a request that the parser rejected and closes its connection, which cannot be used any further. */
    private void rejectInvalid(HttpServerRequest request) {
        ResultCode code = InvalidRequests.code(request);
        request.response()
                .setStatusCode(code.httpStatus())
                .putHeader(HttpHeaders.CONNECTION, "close")
                .end()
                .onComplete(ignored -> request.connection().close());
    }
}
