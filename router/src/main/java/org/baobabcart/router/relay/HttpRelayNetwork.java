package org.baobabcart.router.relay;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.parsetools.RecordParser;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import org.baobabcart.router.transport.InterimResponses;
import org.baobabcart.router.transport.StrictHttpClient;

/** Connects to relays over HTTP: one streamed response with one JSON object per line. Thread-safe. */
final class HttpRelayNetwork implements RelayNetwork {
    /** The maximum number of connections to one relay, the last ones of which may be closing. */
    private static final int MAX_CONNECTIONS = 4;

    private static final int CONNECT_TIMEOUT_MILLIS = 500;
    private static final int PROBE_TIMEOUT_MILLIS = 2_000;
    private static final int MAX_LINE_BYTES = 1024 * 1024;
    private static final int OK = 200;

    private final HttpClient client;
    private final Executor loop;
    private final String query;

    private HttpRelayNetwork(Vertx vertx, Executor loop, String router) {
        this.client = StrictHttpClient.create(
                vertx,
                new HttpClientOptions()
                        .setConnectTimeout(CONNECT_TIMEOUT_MILLIS)
                        .setKeepAlive(false)
                        .setTcpKeepAlive(true),
                new PoolOptions().setHttp1MaxSize(MAX_CONNECTIONS));
        this.loop = loop;
        this.query = "?" + RelayServer.ROUTER + "=" + URLEncoder.encode(router, StandardCharsets.UTF_8);
    }

    /**
     * Creates a network without connections.
     *
     * @param router the name of this router
     */
    static HttpRelayNetwork create(Vertx vertx, Executor loop, String router) {
        return new HttpRelayNetwork(vertx, loop, router);
    }

    @Override
    public Connection connect(String address, Listener listener) {
        AtomicReference<HttpClientRequest> open = new AtomicReference<>();
        AtomicBoolean closed = new AtomicBoolean();
        RequestOptions options = new RequestOptions()
                .setMethod(HttpMethod.GET)
                .setAbsoluteURI("http://" + address + RelayServer.PATH + query);
        client.request(options)
                .compose(request -> {
                    open.set(request);
                    if (closed.get()) {
                        request.reset();
                    }
                    InterimResponses.limit(request, failure -> close(listener, closed, failure.getMessage()));
                    return request.send();
                })
                .onSuccess(response -> receive(response, listener, closed))
                .onFailure(failure -> close(listener, closed, String.valueOf(failure.getMessage())));
        return () -> {
            closed.set(true);
            HttpClientRequest request = open.get();
            if (request != null) {
                request.reset();
            }
        };
    }

    @Override
    public void probe(String address, Consumer<Boolean> onResult) {
        RequestOptions options = new RequestOptions()
                .setMethod(HttpMethod.HEAD)
                .setTimeout(PROBE_TIMEOUT_MILLIS)
                .setAbsoluteURI("http://" + address + RelayServer.PATH);
        client.request(options)
                .compose(HttpClientRequest::send)
                .timeout(PROBE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                .onComplete(result -> loop.execute(() -> onResult.accept(result.succeeded())));
    }

    private void receive(HttpClientResponse response, Listener listener, AtomicBoolean closed) {
        if (response.statusCode() != OK) {
            response.request().reset();
            close(listener, closed, "status " + response.statusCode(), true);
            return;
        }
        RecordParser lines = RecordParser.newDelimited("\n", line -> deliver(line, listener, closed));
        lines.maxRecordSize(MAX_LINE_BYTES);
        lines.exceptionHandler(failure -> {
            response.request().reset();
            close(listener, closed, String.valueOf(failure.getMessage()));
        });
        response.exceptionHandler(failure -> close(listener, closed, String.valueOf(failure.getMessage())));
        response.endHandler(ignored -> close(listener, closed, "ended"));
        response.handler(lines::handle);
    }

    private void deliver(Buffer line, Listener listener, AtomicBoolean closed) {
        if (line.length() > 0 && !closed.get()) {
            byte[] bytes = line.getBytes();
            loop.execute(() -> listener.onLine(bytes));
        }
    }

    private void close(Listener listener, AtomicBoolean closed, String cause) {
        close(listener, closed, cause, false);
    }

    private void close(Listener listener, AtomicBoolean closed, String cause, boolean hasAnswered) {
        if (closed.compareAndSet(false, true)) {
            loop.execute(() -> listener.onClosed(cause, hasAnswered));
        }
    }
}
