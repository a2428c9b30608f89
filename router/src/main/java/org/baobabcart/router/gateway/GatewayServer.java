package org.baobabcart.router.gateway;

import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import java.time.Duration;
import java.util.Map;
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
import org.baobabcart.router.timeline.EventField;
import org.baobabcart.router.timeline.EventFields;
import org.baobabcart.router.timeline.EventType;
import org.baobabcart.router.transport.Connections;
import org.baobabcart.router.view.TrafficView;

/**
 * The port for callers of the opaque request path. Its handlers are confined to one event loop.
 *
 * <p>A request whose body is framed in chunks is the last of its connection: where a head gives a length as well, the parser
 * drops that length, and what follows the last chunk could be taken for a request that the caller never made.
 */
final class GatewayServer {
    private static final int REQUEST_LINE_BYTES = 8 * 1024;
    /** The parser's own bound, above any that an operator sets; the operator's is checked after it. */
    private static final int PARSER_HEADER_BYTES = 64 * 1024;
    /** Bytes between the name and the value of a header and at its end. */
    private static final int HEADER_FRAMING_BYTES = 4;

    private static final int LISTEN_BACKLOG = 1024;
    private static final String CHUNKED = "chunked";
    /** Limits before the first table is known. */
    private static final CallerLimits DEFAULT_LIMITS =
            new CallerLimits(16 * 1024, 4 * 1024 * 1024, Duration.ofSeconds(3), Duration.ofSeconds(15));

    private final GatewayRuntime runtime;
    private final DrainState drain;
    private final ConnectionGuard guard;
    private HttpServer server;
    private boolean refusing;

    private GatewayServer(GatewayRuntime runtime, DrainState drain) {
        this.runtime = runtime;
        this.drain = drain;
        this.guard =
                ConnectionGuard.create(runtime.vertx(), () -> limits().headerTimeout(), () -> limits().idleTimeout());
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
                .connectionHandler(guard::opened)
                .invalidRequestHandler(this::refuseInvalid)
                .requestHandler(this::handle);
        return server.listen(port, host).map(HttpServer::actualPort);
    }

    /** Refuses what arrives from now on. */
    void refuseNew() {
        refusing = true;
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
        if (guard.isSpent(request.connection())) {
            Connections.abort(request.connection());
            return;
        }
        guard.requestBegan(request.connection());
        drain.requestBegan();
        boolean chunked = request.headers().contains(HttpHeaders.TRANSFER_ENCODING);
        if (chunked) {
            guard.markSpent(request.connection());
        }
        CallerExchange exchange = CallerExchange.create(
                runtime.exchanges(), request, () -> chunked || drain.isDraining(), () -> ended(request));
        try {
            begin(exchange, request);
        } catch (RuntimeException failure) {
            exchange.refuseUnread(failure);
        }
    }

    private void ended(HttpServerRequest request) {
        drain.requestEnded();
        guard.requestEnded(request.connection());
    }

    private void begin(CallerExchange exchange, HttpServerRequest request) {
        checkHead(request);
        RequestHead head = runtime.codec().decode(request);
        exchange.identify(head.id());
        if (refusing) {
            throw BaobabcartException.of(ResultCode.STOPPING);
        }
        RouteMatch admission = admit(exchange, head);
        Duration wait = wait(admission, head);
        exchange.whenEnded(() -> runtime.requests().ended(admission, exchange));
        long deadlineNanos = exchange.begunNanos() + wait.toNanos();
        int limit = limits().bodyBytes();
        long announced = announcedLength(request);
        if (announced > limit) {
            throw BaobabcartException.of(ResultCode.BODY_TOO_LARGE, "at most " + limit + " bytes");
        }
        BodyReader.read(runtime.vertx(), request, limit, wait)
                .onSuccess(body -> run(exchange, head, admission, body, deadlineNanos))
                .onFailure(exchange::refuseUnread);
    }

    /** Looks the request up and records what was found, a refusal too. */
    private RouteMatch admit(CallerExchange exchange, RequestHead head) {
        TrafficView view = runtime.attempts().views().current();
        EventFields received = EventFields.of(EventField.METHOD, head.method().name())
                .with(EventField.PATH, head.path())
                .with(EventField.GENERATION, view.generation());
        try {
            RouteMatch admission = RouteMatch.of(view, head);
            exchange.record(
                    EventType.REQUEST_RECEIVED,
                    received.with(EventField.ROUTE, admission.route().name())
                            .with(EventField.RANK, admission.rank())
                            .with(EventField.WORKSPACE, admission.workspace())
                            .with(EventField.DEADLINE_MS, wait(admission, head).toMillis()));
            return admission;
        } catch (BaobabcartException refusal) {
            exchange.record(EventType.REQUEST_RECEIVED, received);
            throw refusal;
        }
    }

    /** How long the caller waits: its own deadline, at most the route's. */
    private static Duration wait(RouteMatch admission, RequestHead head) {
        Duration timeout = admission.route().timeout();
        return head.deadline().filter(own -> own.compareTo(timeout) < 0).orElse(timeout);
    }

    private void run(CallerExchange exchange, RequestHead head, RouteMatch atHead, Buffer body, long deadlineNanos) {
        if (exchange.isEnded()) {
            return;
        }
        if (!runtime.buffers().tryTake(body.length())) {
            exchange.refuse(BaobabcartException.of(ResultCode.QUEUE_FULL, "no room for the body"));
            return;
        }
        exchange.whenEnded(() -> runtime.buffers().giveBack(body.length()));
        try {
            RouteMatch admission = atHead.under(runtime.attempts().views().current(), head);
            GatewayRequestExecution.create(runtime, exchange, head, admission, body, deadlineNanos)
                    .start();
        } catch (BaobabcartException refusal) {
            exchange.refuse(refusal);
        }
    }

    private void checkHead(HttpServerRequest request) {
        String encoding = request.getHeader(HttpHeaders.TRANSFER_ENCODING);
        if (encoding != null && !CHUNKED.equalsIgnoreCase(encoding.strip())) {
            throw BaobabcartException.of(ResultCode.BAD_HEADER, "only the transfer encoding chunked is understood");
        }
        int bytes = request.uri().length();
        for (Map.Entry<String, String> header : request.headers()) {
            bytes += header.getKey().length() + header.getValue().length() + HEADER_FRAMING_BYTES;
        }
        if (bytes > limits().headerBytes()) {
            throw BaobabcartException.of(ResultCode.HEADERS_TOO_LARGE);
        }
    }

    private static long announcedLength(HttpServerRequest request) {
        String length = request.getHeader(HttpHeaders.CONTENT_LENGTH);
        return length != null && length.matches("[0-9]{1,18}") ? Long.parseLong(length) : 0;
    }

    /** Answers a request that the parser refused, whose connection cannot be used further. */
    private void refuseInvalid(HttpServerRequest request) {
        ResultCode code = InvalidRequests.code(request);
        request.response()
                .setStatusCode(code.httpStatus())
                .putHeader(HttpHeaders.CONNECTION, "close")
                .end()
                .onComplete(ignored -> request.connection().close());
    }
}
