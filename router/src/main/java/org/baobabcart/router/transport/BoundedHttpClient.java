package org.baobabcart.router.transport;

import com.google.common.flogger.FluentLogger;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.VertxException;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * An HTTP client that buffers whole responses within limits on size and time. The limits hold for any server: the
 * connection is closed when the body exceeds the maximum size or interim responses do not end, and slowly trickling
 * bytes do not extend the timeout of a call. Thread-safe; results complete on an event loop.
 *
 * <p>Responses name no call. A server that sends a response twice may do so on the connection of a later call, where the
 * second one would be taken for the response to that call. Calls are therefore sent on connections of their own, and only
 * polls of the same resource share connections.
 *
 * <p>A device between the two ends may lose track of all open connections at once, and such connections look sound until they are used. After
 * a call without a complete response, no idle connection is used again.
 */
public final class BoundedHttpClient {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final String JSON = "application/json";

    private final Vertx vertx;
    private final HttpClientOptions options;
    private final int maxConnections;
    private final int maxBytes;
    private final ConnectionPool singleUseConnections;
    private final Map<String, ConnectionPool> pollConnections = new ConcurrentHashMap<>();
    private final AtomicLong retirements = new AtomicLong();

    private BoundedHttpClient(Vertx vertx, HttpClientOptions options, int maxConnections, int maxBytes) {
        this.vertx = vertx;
        this.options = new HttpClientOptions(options);
        this.maxConnections = maxConnections;
        this.maxBytes = maxBytes;
        this.singleUseConnections = newPool(new HttpClientOptions(options).setKeepAlive(false));
    }

    /**
     * Creates a client without open connections.
     *
     * @param maxConnections the maximum number of connections per server, for calls and for polls of each resource
     * @param maxBytes the maximum size of a response body in bytes
     */
    public static BoundedHttpClient create(Vertx vertx, HttpClientOptions options, int maxConnections, int maxBytes) {
        return new BoundedHttpClient(vertx, options, maxConnections, maxBytes);
    }

    private ConnectionPool newPool(HttpClientOptions poolOptions) {
        return ConnectionPool.create(vertx, poolOptions, maxConnections, BoundedHttpClient::logUnexpectedData);
    }

    private static void logUnexpectedData(UnexpectedData data) {
        LOGGER.atWarning().atMostEvery(1, TimeUnit.SECONDS).log(
                "event=unexpected_data server=%s kind=%s bytes=%d connection=%d",
                data.server(), data.kind(), data.bytes(), data.connection().connection());
    }

    /** Sends a request without a body, on a connection of its own. */
    public Future<BoundedResponse> call(HttpMethod method, String address, Duration timeout) {
        return call(singleUseConnections, method, address, Optional.empty(), timeout);
    }

    /** Sends a request with a JSON body, on a connection of its own. */
    public Future<BoundedResponse> call(HttpMethod method, String address, Buffer json, Duration timeout) {
        return call(singleUseConnections, method, address, Optional.of(json), timeout);
    }

    /**
     * Reads a resource on a connection that carries only such reads and stays open. The response may be an earlier one to
     * the same resource.
     *
     * @param resource the resource, one of few
     */
    public Future<BoundedResponse> poll(String resource, String address, Duration timeout) {
        ConnectionPool connections = pollConnections.computeIfAbsent(resource, ignored -> newPool(options));
        return call(connections, HttpMethod.GET, address, Optional.empty(), timeout);
    }

    /** Retires the connections for polls, unless that has been done since the number of retirements was read. */
    private void retireUnlessSince(long earlierRetirements) {
        if (retirements.compareAndSet(earlierRetirements, earlierRetirements + 1)) {
            pollConnections.values().forEach(ConnectionPool::retire);
        }
    }

    private Future<BoundedResponse> call(
            ConnectionPool connections, HttpMethod method, String address, Optional<Buffer> json, Duration timeout) {
        RequestOptions request = new RequestOptions().setMethod(method).setAbsoluteURI(address);
        json.ifPresent(ignored -> request.putHeader("Content-Type", JSON));
        Promise<BoundedResponse> result = Promise.promise();
        long retirementsBefore = retirements.get();
        Future<HttpClientRequest> connected = connections.reserve().request(request, Optional.empty());
        long timer = EventLoopTimers.start(vertx, timeout, () -> {
            if (!result.future().isComplete()) {
                // First of all, so that a call made because of this failure already uses a new connection.
                retireUnlessSince(retirementsBefore);
                result.tryFail(
                        connected.succeeded()
                                ? new LateResponseException()
                                : new VertxException("no connection within the timeout", true));
            }
        });
        connected
                .compose(opened -> {
                    InterimResponses.limit(opened, result::tryFail);
                    // Closes the connection of a call that failed before its response was complete.
                    result.future().onFailure(ignored -> Connections.abort(opened.connection()));
                    Future<HttpClientResponse> sent = json.map(opened::send).orElseGet(opened::send);
                    return sent.compose(response -> collect(opened, response, result))
                            .onComplete(ignored -> connections.release(opened.connection()));
                })
                .onSuccess(result::tryComplete)
                .onFailure(result::tryFail);
        return result.future().onComplete(ignored -> vertx.cancelTimer(timer));
    }

    private Future<BoundedResponse> collect(
            HttpClientRequest request, HttpClientResponse response, Promise<BoundedResponse> result) {
        BodyFraming framing = BodyFraming.of(request.getMethod(), response.statusCode(), response.headers());
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
        response.endHandler(ignored -> {
            BodyEnd end = framing.end(request.connection());
            if (end.isComplete()) {
                complete.tryComplete(new BoundedResponse(response.statusCode(), response.headers(), body));
            } else {
                complete.tryFail(new VertxException(end.description(), true));
            }
        });
        return complete.future();
    }
}
