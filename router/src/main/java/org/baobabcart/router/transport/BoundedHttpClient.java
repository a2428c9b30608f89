package org.baobabcart.router.transport;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.VertxException;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import java.time.Duration;
import java.util.Optional;

/**
 * An HTTP client that buffers whole responses within limits on size and time. The limits hold for any server: the
 * connection is closed when the body exceeds the maximum size, and slowly trickling bytes do not extend the timeout of
 * a call. Thread-safe; results complete on an event loop.
 */
public final class BoundedHttpClient {
    private static final String JSON = "application/json";

    private final Vertx vertx;
    private final HttpClient client;
    private final int maxBytes;

    private BoundedHttpClient(Vertx vertx, HttpClient client, int maxBytes) {
        this.vertx = vertx;
        this.client = client;
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
        return new BoundedHttpClient(vertx, vertx.createHttpClient(options, pool), maxBytes);
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
        long timer = vertx.setTimer(
                timeout.toMillis(),
                ignored -> result.tryFail(new VertxException("no complete response within the timeout", true)));
        client.request(options)
                .compose(request -> {
                    // Closes the connection of a call that failed before its response was complete.
                    result.future().onFailure(ignored -> Connections.abort(request.connection()));
                    Future<HttpClientResponse> sent = json.map(request::send).orElseGet(request::send);
                    return sent.compose(response -> collect(response, result));
                })
                .onSuccess(result::tryComplete)
                .onFailure(result::tryFail);
        return result.future().onComplete(ignored -> vertx.cancelTimer(timer));
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
