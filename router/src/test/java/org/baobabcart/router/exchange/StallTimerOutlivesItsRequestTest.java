package org.baobabcart.router.exchange;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.greaterThan;

import com.codahale.metrics.MetricRegistry;
import io.vertx.core.MultiMap;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.baobabcart.model.platform.VirtualMachine;
import org.baobabcart.router.transport.HeldResponseServer;
import org.baobabcart.router.transport.Transport;
import org.baobabcart.router.upstream.AcceptingRules;
import org.baobabcart.router.upstream.AttemptException;
import org.baobabcart.router.upstream.ConnectionChoice;
import org.baobabcart.router.upstream.UpstreamClient;
import org.baobabcart.router.upstream.UpstreamClientSettings;
import org.baobabcart.router.upstream.UpstreamNotices;
import org.baobabcart.router.upstream.UpstreamRequest;
import org.baobabcart.router.upstream.UpstreamResponse;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A caller that paused in a stream lost its connection later, in the middle of its next request. */
class StallTimerOutlivesItsRequestTest {
    private static final Duration STALL = Duration.ofMillis(400);
    private static final Duration TIMEOUT = Duration.ofSeconds(20);
    private static final Duration SECOND_RESPONSE_DELAY = STALL.multipliedBy(3);
    /** Larger than the buffers of a loopback connection. */
    private static final int STREAM_BYTES = 16 * 1024 * 1024;
    /** A chunk of the upstream is passed on in several parts, as one with several events is. */
    private static final int PARTS = 5;

    private static final String HEAD = "HTTP/1.1 200 OK\r\nContent-Length: " + STREAM_BYTES + "\r\n\r\n";
    private static final String LAST_CHUNK = "\r\n0\r\n\r\n";

    private final Vertx vertx = Vertx.vertx();
    private HeldResponseServer upstream;
    private UpstreamClient client;
    private HttpServer server;

    @BeforeEach
    void start() throws Exception {
        upstream = HeldResponseServer.start(HEAD);
        client = UpstreamClient.create(
                vertx,
                UpstreamClientSettings.of(TIMEOUT, Transport.plain()).withRules(new AcceptingRules()),
                UpstreamNotices.create((type, requestId, fields) -> {}),
                (type, requestId, fields) -> {});
        server = vertx.createHttpServer()
                .requestHandler(this::handle)
                .listen(0, "127.0.0.1")
                .toCompletionStage()
                .toCompletableFuture()
                .get(TIMEOUT.toSeconds(), TimeUnit.SECONDS);
    }

    @AfterEach
    void stop() throws Exception {
        upstream.close();
        vertx.close().toCompletionStage().toCompletableFuture().get(TIMEOUT.toSeconds(), TimeUnit.SECONDS);
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3})
    void nextRequestOnTheConnectionIsAnswered(int pauses) throws Exception {
        try (Socket caller = new Socket("127.0.0.1", server.actualPort())) {
            caller.setSoTimeout((int) TIMEOUT.toMillis());
            send(caller, "/stream");
            while (upstream.answered().isEmpty()) {
                TimeUnit.MILLISECONDS.sleep(5);
            }
            Thread writer = new Thread(this::writeStream, "stream");
            writer.setDaemon(true);
            writer.start();
            InputStream input = caller.getInputStream();
            for (int pause = 0; pause < pauses; pause++) {
                TimeUnit.MILLISECONDS.sleep(STALL.toMillis() / 2);
                assertThat(input.readNBytes(STREAM_BYTES / 8).length, greaterThan(0));
            }
            readUntil(input, LAST_CHUNK);
            send(caller, "/next");
            assertThat(readUntil(input, "answer"), containsString("200 OK"));
        }
    }

    private void writeStream() {
        try {
            upstream.write("x".repeat(STREAM_BYTES));
        } catch (IOException closed) {
            // The test has ended.
        }
    }

    private static void send(Socket caller, String path) throws Exception {
        caller.getOutputStream()
                .write(("GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1));
    }

    private static String readUntil(InputStream input, String end) throws Exception {
        StringBuilder last = new StringBuilder();
        byte[] buffer = new byte[64 * 1024];
        while (last.indexOf(end) < 0) {
            int count = input.read(buffer);
            if (count < 0) {
                return "closed";
            }
            last.append(new String(buffer, 0, count, StandardCharsets.ISO_8859_1));
            last.delete(0, Math.max(0, last.length() - 1_000));
        }
        return last.toString();
    }

    private void handle(HttpServerRequest request) {
        ExchangeDependencies dependencies = new ExchangeDependencies(
                vertx, (type, id, fields) -> {}, new MetricRegistry(), new PlainErrors(), STALL);
        CallerExchange exchange = CallerExchange.create(dependencies, request, () -> false, () -> {}, () -> {});
        if (request.path().equals("/next")) {
            vertx.setTimer(
                    SECOND_RESPONSE_DELAY.toMillis(),
                    ignored -> exchange.respond(200, MultiMap.caseInsensitiveMultiMap(), Buffer.buffer("answer")));
            return;
        }
        UpstreamRequest upstreamRequest = new UpstreamRequest(
                "id",
                false,
                true,
                HttpMethod.GET,
                "/",
                Map.of(),
                Buffer.buffer(),
                new UpstreamRequest.ProgressTimeouts(TIMEOUT, TIMEOUT),
                () -> true);
        client.send(
                        machine(),
                        upstreamRequest,
                        ConnectionChoice.KEPT_OR_NEW,
                        connection -> {},
                        Promise.<AttemptException>promise().future())
                .compose(response -> {
                    exchange.beginChunked(200, MultiMap.caseInsensitiveMultiMap());
                    return response.forEachChunk(chunk -> relay(exchange, response, chunk));
                })
                .onSuccess(ignored -> exchange.end())
                .onFailure(exchange::fail);
    }

    private static void relay(CallerExchange exchange, UpstreamResponse response, Buffer chunk) {
        int size = chunk.length() / PARTS;
        for (int part = 0; part < PARTS; part++) {
            int end = part == PARTS - 1 ? chunk.length() : (part + 1) * size;
            exchange.write(chunk.getBuffer(part * size, end));
            exchange.applyBackpressure(response);
        }
    }

    private VirtualMachine machine() {
        return new VirtualMachine(
                "held",
                VirtualMachine.Role.SERVICE,
                "one",
                VirtualMachine.State.LIVE,
                upstream.address(),
                "",
                "",
                "orders");
    }
}
