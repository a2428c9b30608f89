package org.baobabcart.router.traffic;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpConnection;
import java.time.Duration;
import java.util.IdentityHashMap;
import java.util.Map;
import org.baobabcart.router.upstream.Connections;

/**
 * Closes connections on which no request arrives, among them those on which half a head arrived. Confined to one event
 * loop.
 */
final class ConnectionGuard {
    private final Vertx vertx;
    private final Duration firstRequest;
    private final Duration nextRequest;
    private final Map<HttpConnection, Long> timers = new IdentityHashMap<>();

    private ConnectionGuard(Vertx vertx, Duration firstRequest, Duration nextRequest) {
        this.vertx = vertx;
        this.firstRequest = firstRequest;
        this.nextRequest = nextRequest;
    }

    static ConnectionGuard create(Vertx vertx, Duration firstRequest, Duration nextRequest) {
        return new ConnectionGuard(vertx, firstRequest, nextRequest);
    }

    void opened(HttpConnection connection) {
        connection.closeHandler(ignored -> disarm(connection));
        arm(connection, firstRequest);
    }

    void requestBegan(HttpConnection connection) {
        disarm(connection);
    }

    void requestEnded(HttpConnection connection) {
        disarm(connection);
        arm(connection, nextRequest);
    }

    private void arm(HttpConnection connection, Duration limit) {
        long timer = vertx.setTimer(limit.toMillis(), ignored -> {
            timers.remove(connection);
            Connections.abort(connection);
        });
        timers.put(connection, timer);
    }

    private void disarm(HttpConnection connection) {
        Long timer = timers.remove(connection);
        if (timer != null) {
            vertx.cancelTimer(timer);
        }
    }
}
