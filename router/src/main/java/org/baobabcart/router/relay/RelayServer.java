package org.baobabcart.router.relay;

import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.function.Predicate;
import org.baobabcart.router.transport.Connections;
import org.baobabcart.router.transport.ServicePort;

/**
 * Serves what this router hears from the store to other routers. Thread-safe.
 *
 * <p>Only registered routers are served, a bounded number of them. A subscriber that does not read is cut off, so that what waits for it is bounded.
 */
final class RelayServer {
    static final String PATH = "/apis/baobabcart/v1/changes";
    static final String ROUTER = "router";
    private static final int MAX_UNWRITTEN_BYTES = 256 * 1024;
    /** All subscribers may connect at once, and others that are turned away. */
    private static final int MAX_IDLE_CONNECTIONS = 2 * RelaySource.MAX_SUBSCRIBERS;

    private static final int NOT_FOUND = 404;
    private static final int FORBIDDEN = 403;
    private static final int UNAVAILABLE = 503;

    private final Vertx vertx;
    private final MetricRegistry metrics;
    private final Executor loop;
    private final Acceptor acceptor;
    private final Predicate<String> isRouter;
    private final long writeLimitNanos;
    private final Map<String, Stream> streams = new HashMap<>();

    /** Decides on subscribers. Called on the control thread. */
    interface Acceptor {
        /** Adds a subscriber; returns false if it is turned away. */
        boolean accept(RelaySource.Subscriber subscriber);

        /** Removes a subscriber. */
        void remove(RelaySource.Subscriber subscriber);
    }

    /**
     * Creates a server that does not listen yet.
     *
     * @param isRouter returns whether a host is that of a registered router; called on the control thread
     * @param writeLimit how long a subscriber may leave what is sent unread
     */
    RelayServer(
            Vertx vertx,
            MetricRegistry metrics,
            Executor loop,
            Acceptor acceptor,
            Predicate<String> isRouter,
            Duration writeLimit) {
        this.vertx = vertx;
        this.metrics = metrics;
        this.loop = loop;
        this.acceptor = acceptor;
        this.isRouter = isRouter;
        this.writeLimitNanos = writeLimit.toNanos();
    }

    /** Starts to listen. */
    Future<HttpServer> listen(String host, int port) {
        return ServicePort.createServer(
                        vertx, metrics, ServicePort.Limits.forRouters(MAX_IDLE_CONNECTIONS), this::handle)
                .listen(port, host);
    }

    private void handle(HttpServerRequest request) {
        if (request.method() != HttpMethod.GET || !request.path().equals(PATH)) {
            refuse(request, NOT_FOUND);
            return;
        }
        Context context = vertx.getOrCreateContext();
        loop.execute(() -> accept(request, context));
    }

    private static void refuse(HttpServerRequest request, int status) {
        request.response().setStatusCode(status).end();
    }

    private void accept(HttpServerRequest request, Context context) {
        if (!isRouter.test(request.remoteAddress().hostAddress())) {
            context.runOnContext(ignored -> refuse(request, FORBIDDEN));
            return;
        }
        String router = String.valueOf(request.getParam(ROUTER));
        Stream stream = new Stream(request, context, router);
        Optional.ofNullable(streams.remove(router)).ifPresent(earlier -> {
            acceptor.remove(earlier);
            earlier.end();
        });
        if (!acceptor.accept(stream)) {
            context.runOnContext(ignored -> refuse(request, UNAVAILABLE));
            return;
        }
        streams.put(router, stream);
        context.runOnContext(ignored -> request.response().closeHandler(closed -> loop.execute(() -> remove(stream))));
    }

    private void remove(Stream stream) {
        if (streams.remove(stream.router, stream)) {
            acceptor.remove(stream);
        }
    }

    /** Ends all streams; called on the control thread. */
    void close() {
        streams.values().forEach(Stream::end);
    }

    /** The stream to a subscriber. Writes on the connection's event loop. */
    private final class Stream implements RelaySource.Subscriber {
        private final HttpServerRequest request;
        private final Context context;
        private final String router;
        private long fullSinceNanos;
        private boolean full;

        private Stream(HttpServerRequest request, Context context, String router) {
            this.request = request;
            this.context = context;
            this.router = router;
        }

        @Override
        public String router() {
            return router;
        }

        @Override
        public void send(Buffer lines) {
            context.runOnContext(ignored -> write(lines));
        }

        private void write(Buffer lines) {
            HttpServerResponse response = request.response();
            if (response.closed() || response.ended()) {
                return;
            }
            if (isStuck(response)) {
                Connections.abort(request.connection());
                return;
            }
            if (!response.headWritten()) {
                response.setChunked(true)
                        .setWriteQueueMaxSize(MAX_UNWRITTEN_BYTES)
                        .putHeader("Content-Type", "application/json");
            }
            response.write(lines);
        }

        private boolean isStuck(HttpServerResponse response) {
            boolean wasFull = full;
            full = response.headWritten() && response.writeQueueFull();
            if (full && !wasFull) {
                fullSinceNanos = System.nanoTime();
            }
            return full && System.nanoTime() - fullSinceNanos > writeLimitNanos;
        }

        @Override
        public void end() {
            context.runOnContext(ignored -> Connections.abort(request.connection()));
        }
    }
}
