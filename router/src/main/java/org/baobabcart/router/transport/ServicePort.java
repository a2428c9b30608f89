package org.baobabcart.router.transport;

import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import io.vertx.core.Handler;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Limits what the clients of a port that is not for callers can take of the process: the size of heads, and the number and the time of
 * connections without a running request. Thread-safe.
 */
public final class ServicePort {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final int MAX_REQUEST_LINE_BYTES = 2 * 1024;
    private static final Duration MAX_IDLE_TIME = Duration.ofSeconds(75);

    private final Vertx vertx;
    private final int maxIdle;
    private final Meter closed;
    /** The timers of connections without a running request; those that have waited longest come first. */
    private final Map<HttpConnection, Long> idle = new LinkedHashMap<>();

    /**
     * What the clients of a port may take together.
     *
     * @param headBytes the maximum size of the head of a request
     * @param idleConnections the number of connections without a running request
     */
    public record Limits(int headBytes, int idleConnections) {
        private static final Limits FEW_CLIENTS = new Limits(4 * 1024, 16);

        /** Returns the limits of a port for a few checks and operators. */
        public static Limits forFewClients() {
            return FEW_CLIENTS;
        }

        /** Returns the limits of a port for the other routers, whose heads are small and which may connect all at once. */
        public static Limits forRouters(int idleConnections) {
            return new Limits(512, idleConnections);
        }
    }

    private ServicePort(Vertx vertx, MetricRegistry metrics, int maxIdle) {
        this.vertx = vertx;
        this.maxIdle = maxIdle;
        this.closed = metrics.meter("service-ports.closed");
    }

    /** Creates a server with limits. */
    public static HttpServer createServer(
            Vertx vertx, MetricRegistry metrics, Limits limits, Handler<HttpServerRequest> handler) {
        return createServer(vertx, metrics, limits, new HttpServerOptions(), handler);
    }

    /** Creates a server with limits and options of its own, which are changed. */
    public static HttpServer createServer(
            Vertx vertx,
            MetricRegistry metrics,
            Limits limits,
            HttpServerOptions options,
            Handler<HttpServerRequest> handler) {
        options.setMaxHeaderSize(limits.headBytes())
                .setMaxInitialLineLength(MAX_REQUEST_LINE_BYTES)
                // Otherwise a connection is reported with its first bytes only.
                .setHttp2ClearTextEnabled(false)
                .setTcpKeepAlive(true);
        ServicePort port = new ServicePort(vertx, metrics, limits.idleConnections());
        return vertx.createHttpServer(options)
                .connectionHandler(port::opened)
                .requestHandler(request -> port.handle(request, handler));
    }

    private void opened(HttpConnection connection) {
        Connections.limitReadAhead(connection);
        connection.closeHandler(ignored -> remove(connection));
        add(connection);
    }

    private void handle(HttpServerRequest request, Handler<HttpServerRequest> handler) {
        HttpConnection connection = request.connection();
        if (request.response().writeQueueFull()) {
            // The responses to earlier requests are not read.
            close(connection);
            return;
        }
        remove(connection);
        request.response().endHandler(ignored -> {
            if (!request.response().closed()) {
                add(connection);
            }
        });
        handler.handle(request);
    }

    private void add(HttpConnection connection) {
        remove(connection);
        idlestBeyondLimit(connection).ifPresent(this::close);
    }

    private synchronized Optional<HttpConnection> idlestBeyondLimit(HttpConnection added) {
        idle.put(added, vertx.setTimer(MAX_IDLE_TIME.toMillis(), ignored -> close(added)));
        return idle.size() > maxIdle ? Optional.of(idle.keySet().iterator().next()) : Optional.empty();
    }

    private synchronized void remove(HttpConnection connection) {
        Long timer = idle.remove(connection);
        if (timer != null) {
            vertx.cancelTimer(timer);
        }
    }

    private void close(HttpConnection connection) {
        remove(connection);
        closed.mark();
        LOGGER.atInfo().atMostEvery(1, TimeUnit.SECONDS).log(
                "event=service_connection_closed closed=%d", closed.getCount());
        Connections.abort(connection);
    }
}
