package org.baobabcart.router.upstream;

import io.netty.channel.ConnectTimeoutException;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.net.ConnectOptions;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.baobabcart.router.transport.Transport;

/**
 * Tests whether a server accepts new connections, on which nothing is sent. Thread-safe.
 *
 * <p>A connection whose first packet is lost, or finds the queue of the server full, takes a second, because the packet
 * is not repeated before. Further connections are therefore opened within the timeout, and one that opens is enough. A
 * refusal needs no confirmation.
 */
final class ConnectProbe {
    /** Many round trips within a region, because a false alarm would fail many attempts. */
    private static final Duration TIMEOUT = Duration.ofMillis(300);

    private static final int CONNECTIONS = 3;
    private static final Duration INTERVAL = TIMEOUT.dividedBy(CONNECTIONS);

    private final Vertx vertx;
    private final NetClient client;

    private ConnectProbe(Vertx vertx, NetClient client) {
        this.vertx = vertx;
        this.client = client;
    }

    /** Creates a probe. */
    static ConnectProbe create(Vertx vertx, Transport transport) {
        return new ConnectProbe(vertx, vertx.createNetClient(transport.toConnectProbes(new NetClientOptions())));
    }

    /** Returns whether the server accepts a connection. */
    Future<Boolean> isReachable(String host, int port) {
        ConnectOptions server = new ConnectOptions().setHost(host).setPort(port);
        Promise<Boolean> result = Promise.promise();
        List<Future<Void>> attempts = IntStream.range(0, CONNECTIONS)
                .mapToObj(INTERVAL::multipliedBy)
                .map(delay -> after(delay).compose(ignored -> attempt(server, TIMEOUT.minus(delay), result)))
                .toList();
        Future.join(attempts).onComplete(ignored -> result.tryComplete(false));
        return result.future();
    }

    private Future<Void> after(Duration delay) {
        return delay.isZero()
                ? Future.succeededFuture()
                : vertx.timer(delay.toMillis(), TimeUnit.MILLISECONDS).mapEmpty();
    }

    /** Opens a connection unless the result is known; the last timeout of several decides, not the first one. */
    private Future<Void> attempt(ConnectOptions server, Duration timeout, Promise<Boolean> result) {
        if (result.future().isComplete()) {
            return Future.succeededFuture();
        }
        return client.connect(new ConnectOptions(server).setTimeout((int) timeout.toMillis()))
                .onSuccess(socket -> {
                    result.tryComplete(true);
                    socket.close();
                })
                .onFailure(cause -> {
                    if (!(cause instanceof ConnectTimeoutException)) {
                        result.tryComplete(false);
                    }
                })
                .mapEmpty();
    }
}
