package org.baobabcart.router.transport;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.VertxException;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Supplier;

/**
 * An HTTP client that buffers whole responses within limits on size and time. The limits hold for any server: the
 * connection is closed when the body exceeds the maximum size or interim responses do not end, and slowly trickling
 * bytes do not extend the timeout of a call. Thread-safe; results complete on an event loop.
 *
 * <p>A device between the two ends may lose track of all open connections at once, and such connections look sound until they are used. After
 * a call without a complete response, no idle connection is used again.
 */
public final class BoundedHttpClient {
    private static final String JSON = "application/json";
    /** Longer than any call, so that calls in flight on replaced connections can end. */
    private static final Duration SHUTDOWN_TIMEOUT = Duration.ofMinutes(1);

    private final Vertx vertx;
    private final Supplier<HttpClient> clients;
    private final AtomicReference<HttpClient> current;
    private final int maxBytes;

    private BoundedHttpClient(Vertx vertx, Supplier<HttpClient> clients, int maxBytes) {
        this.vertx = vertx;
        this.clients = clients;
        this.current = new AtomicReference<>(clients.get());
        this.maxBytes = maxBytes;
    }

    /**
     * Creates a client without open connections.
     *
     * @param connections the maximum number of connections per server
     * @param maxBytes the maximum size of a response body in bytes
     */
    public static BoundedHttpClient create(Vertx vertx, HttpClientOptions options, int maxConnections, int maxBytes) {
        PoolOptions pool = new PoolOptions().setHttp1MaxSize(maxConnections);
        return new BoundedHttpClient(vertx, () -> vertx.createHttpClient(options, pool), maxBytes);
    }

    /** Sends a request without a body. */
    public Future<BoundedResponse> call(HttpMethod method, String address, Duration timeout) {
        return call(method, address, Optional.empty(), timeout);
    }

    /** Sends a request with a JSON body. */
    public Future<BoundedResponse> call(HttpMethod method, String address, Buffer json, Duration timeout) {
        return call(method, address, Optional.of(json), timeout);
    }

    private Future<BoundedResponse> call(HttpMethod method, String address, Optional<Buffer> json, Duration timeout) {
        RequestOptions options = new RequestOptions().setMethod(method).setAbsoluteURI(address);
        json.ifPresent(ignored -> options.putHeader("Content-Type", JSON));
        Promise<BoundedResponse> result = Promise.promise();
        HttpClient client = current.get();
        long timer = vertx.setTimer(timeout.toMillis(), ignored -> {
            if (!result.future().isComplete()) {
                // First of all, so that a call made because of this failure already uses a new connection.
                replace(client);
                result.tryFail(new VertxException("no complete response within the timeout", true));
            }
        });
        open(client, options)
                .compose(request -> {
                    InterimResponses.limit(request, result::tryFail);
                    // Closes the connection of a call that failed before its response was complete.
                    result.future().onFailure(ignored -> Connections.abort(request.connection()));
                    Future<HttpClientResponse> sent = json.map(request::send).orElseGet(request::send);
                    return sent.compose(response -> collect(response, result));
                })
                .onSuccess(result::tryComplete)
                .onFailure(result::tryFail);
        return result.future().onComplete(ignored -> vertx.cancelTimer(timer));
    }

    /** Opens or reuses a connection. A client that was replaced while this call waited for a connection has sent nothing. */
    private Future<HttpClientRequest> open(HttpClient client, RequestOptions options) {
        return client.request(options).recover(cause -> {
            HttpClient replacement = current.get();
            return replacement == client ? Future.failedFuture(cause) : replacement.request(options);
        });
    }

    /** Closes the idle connections of a client; calls in flight go on. Does nothing if another call has replaced it. */
    private void replace(HttpClient client) {
        HttpClient replacement = clients.get();
        if (current.compareAndSet(client, replacement)) {
            client.shutdown(SHUTDOWN_TIMEOUT.toSeconds(), TimeUnit.SECONDS);
        } else {
            replacement.close();
        }
    }

    private Future<BoundedResponse> collect(HttpClientResponse response, Promise<BoundedResponse> result) {
        Buffer body = Buffer.buffer();
        Promise<BoundedResponse> complete = Promise.promise();
        response.handler(chunk -> {
            if (body.length() + chunk.length() > maxBytes) {
                result.tryFail(new VertxException("response exceeds " + maxBytes + " bytes", true));
            } else if (!result.future().isComplete()) {
                body.appendBuffer(chunk);
            }
        });
        response.exceptionHandler(complete::tryFail);
        response.endHandler(
                ignored -> complete.tryComplete(new BoundedResponse(response.statusCode(), response.headers(), body)));
        return complete.future();
    }
}
