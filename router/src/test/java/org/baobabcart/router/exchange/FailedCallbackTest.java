package org.baobabcart.router.exchange;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.allOf;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import com.codahale.metrics.MetricRegistry;
import io.vertx.core.MultiMap;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.baobabcart.model.result.BaobabcartException;
import org.baobabcart.model.result.ResultCode;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** A callback that threw between the end of a request's work and its response left the caller without a response. */
class FailedCallbackTest {
    private static final Duration LONG = Duration.ofSeconds(10);

    private final Vertx vertx = Vertx.vertx();

    /** How a response is sent. */
    private enum Sending {
        WHOLE("200 OK", "answer") {
            @Override
            void send(CallerExchange exchange) {
                exchange.respond(200, MultiMap.caseInsensitiveMultiMap(), Buffer.buffer("answer"));
            }
        },
        CHUNKED("200 OK", "answer") {
            @Override
            void send(CallerExchange exchange) {
                exchange.beginChunked(200, MultiMap.caseInsensitiveMultiMap());
                exchange.write(Buffer.buffer("ans"));
                exchange.write(Buffer.buffer("wer"));
                exchange.end();
            }
        },
        ERROR("429 ", "") {
            @Override
            void send(CallerExchange exchange) {
                exchange.fail(BaobabcartException.of(ResultCode.QUEUE_FULL));
            }
        },
        DEADLINE("503 ", "") {
            @Override
            void send(CallerExchange exchange) {
                exchange.startDeadline(System.nanoTime());
            }
        };

        private final String status;
        private final String body;

        Sending(String status, String body) {
            this.status = status;
            this.body = body;
        }

        abstract void send(CallerExchange exchange);
    }

    @AfterEach
    void closeVertx() {
        vertx.close();
    }

    @ParameterizedTest
    @EnumSource(Sending.class)
    void responseIsSentWhateverItsCallbacksThrow(Sending sending) throws Exception {
        int port = vertx.createHttpServer()
                .requestHandler(request -> serve(request, sending))
                .listen(0, "127.0.0.1")
                .toCompletionStage()
                .toCompletableFuture()
                .get(LONG.toSeconds(), TimeUnit.SECONDS)
                .actualPort();
        try (Socket caller = new Socket("127.0.0.1", port)) {
            caller.setSoTimeout((int) LONG.toMillis());
            for (int request = 0; request < 2; request++) {
                caller.getOutputStream()
                        .write("GET / HTTP/1.1\r\nHost: a\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
                byte[] read = new byte[4_096];
                int length = caller.getInputStream().read(read);
                assertThat("a response", length > 0, is(true));
                // The parts of a chunked body are not contiguous.
                String text = new String(read, 0, length, StandardCharsets.ISO_8859_1)
                        .replaceAll("\r\n[0-9a-f]+\r\n", "")
                        .replace("\r\n", "");
                assertThat(text, allOf(containsString(sending.status), containsString(sending.body)));
            }
        }
    }

    private void serve(HttpServerRequest request, Sending sending) {
        ExchangeDependencies dependencies = new ExchangeDependencies(
                vertx,
                (type, id, fields) -> {
                    throw new IllegalStateException("the timeline fails");
                },
                new MetricRegistry(),
                new PlainErrors(),
                LONG);
        CallerExchange exchange = CallerExchange.create(
                dependencies, request, () -> false, FailedCallbackTest::fail, FailedCallbackTest::fail);
        exchange.addEndAction(FailedCallbackTest::fail);
        exchange.abandoned().onComplete(ignored -> fail());
        sending.send(exchange);
    }

    private static void fail() {
        throw new IllegalStateException("the callback fails");
    }
}
