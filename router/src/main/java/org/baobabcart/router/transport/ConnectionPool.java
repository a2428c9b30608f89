package org.baobabcart.router.transport;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.VertxException;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * An HTTP client whose open connections can be retired one by one: idle connections are closed immediately, and the
 * others when their requests have ended. No request is sent on a retired connection. Thread-safe.
 *
 * <p>The shutdown of an {@link HttpClient} is not used for this. It closes all connections as soon as those have ended
 * that were open when it began, also connections that were opened later and whose requests are still running.
 */
public final class ConnectionPool {
    private final Vertx vertx;
    private final HttpClient client;
    private final Consumer<UnexpectedData> unexpectedData;
    private final Map<HttpConnection, PooledConnection> connections = new HashMap<>();
    private long retirements;
    private int opening;
    private boolean closeWhenUnused;

    private ConnectionPool(
            Vertx vertx, HttpClientOptions options, int maxConnections, Consumer<UnexpectedData> unexpectedData) {
        this.vertx = vertx;
        this.unexpectedData = unexpectedData;
        this.client = vertx.httpClientBuilder()
                .with(options)
                .with(new PoolOptions().setHttp1MaxSize(maxConnections))
                .withConnectHandler(this::connected)
                .build();
    }

    /**
     * Creates a pool without open connections.
     *
     * @param maxConnections the maximum number of connections to a server
     * @param unexpectedData receives a description of bytes that belong to no response, on an event loop
     */
    public static ConnectionPool create(
            Vertx vertx, HttpClientOptions options, int maxConnections, Consumer<UnexpectedData> unexpectedData) {
        return new ConnectionPool(vertx, options, maxConnections, unexpectedData);
    }

    /** Announces a call of {@link #request}, before which the pool is not closed for being unused. */
    public ConnectionPool reserve() {
        synchronized (this) {
            opening++;
        }
        return this;
    }

    /**
     * Opens or reuses a connection for a request that was announced by {@link #reserve} and has not been sent yet. The
     * connection must be passed to {@link #release} when the response is complete, unless it is closed.
     *
     * @param id the id by which the response names the request, which no other request on the connection has had; empty
     *     if responses name no request
     */
    public Future<HttpClientRequest> request(RequestOptions options, Optional<String> id) {
        return open(options, id, true).onComplete(ignored -> opened());
    }

    /**
     * Opens or reuses a connection. A failure to open one is repeated at most once, so that a request does not wait for
     * several timeouts.
     */
    private Future<HttpClientRequest> open(RequestOptions options, Optional<String> id, boolean mayRepeat) {
        long retirementsBefore = retirements();
        return requestOf(options)
                .recover(cause -> {
                    // The connection may have been idle and was retired while it was being assigned.
                    boolean retiredMeanwhile = retirements() != retirementsBefore;
                    return mayRepeat && retiredMeanwhile ? open(options, id, false) : Future.failedFuture(cause);
                })
                .compose(request -> {
                    HttpConnection connection = request.connection();
                    boolean kept = isKept(connection);
                    return readPending(connection, kept).compose(ignored -> {
                        if (acquire(connection, id)) {
                            return Future.succeededFuture(request);
                        }
                        Connections.abort(connection);
                        if (kept || retirements() != retirementsBefore) {
                            return open(options, id, mayRepeat);
                        }
                        return mayRepeat
                                ? open(options, id, false)
                                : Future.failedFuture(new VertxException("a new connection was closed", true));
                    });
                });
    }

    /** Reads what has arrived on a kept connection, and must not be taken for the response to the next request. */
    private Future<Void> readPending(HttpConnection connection, boolean kept) {
        return kept ? EventLoops.afterNextRead(vertx, connection) : Future.succeededFuture();
    }

    private synchronized boolean isKept(HttpConnection connection) {
        PooledConnection pooled = connections.get(connection);
        return pooled != null && !pooled.isNew();
    }

    private Future<HttpClientRequest> requestOf(RequestOptions options) {
        try {
            return client.request(options);
        } catch (IllegalStateException closed) {
            return Future.failedFuture(closed);
        }
    }

    private void connected(HttpConnection connection) {
        PooledConnection pooled = new PooledConnection();
        PeerCloseObserver.observe(connection);
        ResponseBoundary.guard(connection, (kind, bytes) -> received(connection, pooled, kind, bytes));
        Connections.limitReadAhead(connection);
        synchronized (this) {
            connections.put(connection, pooled);
        }
        Connections.onClose(connection, () -> closed(connection));
    }

    private void received(HttpConnection connection, PooledConnection pooled, UnexpectedData.Kind kind, int bytes) {
        String server = String.valueOf(connection.remoteAddress());
        ConnectionUse use;
        boolean close;
        synchronized (this) {
            pooled.retire();
            use = pooled.use();
            // A response that was not delivered in full would be lost; its release closes the connection.
            close = !pooled.isUsed();
        }
        if (close) {
            Connections.abort(connection);
        }
        unexpectedData.accept(new UnexpectedData(server, use, kind, bytes));
    }

    /** Returns the use of a connection by the request that was last assigned to it; zeros if the connection is closed. */
    public synchronized ConnectionUse useOf(HttpConnection connection) {
        PooledConnection pooled = connections.get(connection);
        return pooled == null ? new ConnectionUse(0, 0) : pooled.use();
    }

    /** Returns how often all open connections have been retired. */
    private synchronized long retirements() {
        return retirements;
    }

    /**
     * Assigns a connection to a request; returns false if the request must not be sent on it. The HTTP client can still
     * offer a connection that was retired or closed: the end of the connection also ends a body without a length, after
     * which the connection counts as idle.
     */
    private synchronized boolean acquire(HttpConnection connection, Optional<String> id) {
        PooledConnection pooled = connections.get(connection);
        boolean closed = pooled == null || PeerCloseObserver.isClosedByPeer(connection);
        if (closed || !pooled.accepts(id)) {
            return false;
        }
        pooled.acquire(id);
        return true;
    }

    /** Takes back a connection whose response has ended. */
    public void release(HttpConnection connection) {
        boolean close;
        synchronized (this) {
            PooledConnection pooled = connections.get(connection);
            if (pooled == null) {
                return;
            }
            pooled.release();
            close = (closeWhenUnused || pooled.isRetired()) && !pooled.isUsed();
        }
        if (close) {
            connection.close();
        }
    }

    /** Retires the open connections; the next requests are sent on new ones. */
    public void retire() {
        List<HttpConnection> idle = new ArrayList<>();
        synchronized (this) {
            retirements++;
            connections.forEach((connection, pooled) -> {
                pooled.retire();
                if (!pooled.isUsed()) {
                    idle.add(connection);
                }
            });
        }
        idle.forEach(HttpConnection::close);
    }

    /** Retires a connection, which is closed when its running request has ended. */
    public synchronized void retire(HttpConnection connection) {
        PooledConnection pooled = connections.get(connection);
        if (pooled != null) {
            pooled.retire();
        }
    }

    /** Retires all connections and closes the pool when the requests that were announced before have ended. */
    public void closeWhenUnused() {
        synchronized (this) {
            closeWhenUnused = true;
        }
        retire();
        closeIfUnused();
    }

    /** Closes all connections, also those of running requests. */
    public Future<Void> close() {
        return client.close();
    }

    private void opened() {
        synchronized (this) {
            opening--;
        }
        closeIfUnused();
    }

    private void closed(HttpConnection connection) {
        synchronized (this) {
            connections.remove(connection);
        }
        closeIfUnused();
    }

    private void closeIfUnused() {
        boolean close;
        synchronized (this) {
            close = closeWhenUnused && opening == 0 && connections.isEmpty();
        }
        if (close) {
            client.close();
        }
    }
}
