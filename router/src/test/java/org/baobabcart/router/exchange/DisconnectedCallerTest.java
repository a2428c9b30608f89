package org.baobabcart.router.exchange;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServerRequest;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** A request whose caller has gone ends like any other, so that a connection that is still open begins its idle time. */
class DisconnectedCallerTest {
    private static final Duration LONG = Duration.ofSeconds(10);

    private final Vertx vertx = Vertx.vertx();
    private final CountDownLatch began = new CountDownLatch(1);
    private final CountDownLatch ended = new CountDownLatch(1);
    private final CountDownLatch written = new CountDownLatch(1);

    @AfterEach
    void closeVertx() {
        vertx.close();
    }

    @Test
    void bothActionsRun() throws Exception {
        int port = vertx.createHttpServer()
                .requestHandler(this::serve)
                .listen(0, "127.0.0.1")
                .toCompletionStage()
                .toCompletableFuture()
                .get(LONG.toSeconds(), TimeUnit.SECONDS)
                .actualPort();
        try (Socket caller = new Socket("127.0.0.1", port)) {
            caller.getOutputStream().write("GET / HTTP/1.1\r\nHost: a\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
            assertThat(began.await(LONG.toSeconds(), TimeUnit.SECONDS), is(true));
        }
        assertThat(ended.await(LONG.toSeconds(), TimeUnit.SECONDS), is(true));
        assertThat(written.await(LONG.toSeconds(), TimeUnit.SECONDS), is(true));
    }

    private void serve(HttpServerRequest request) {
        ExchangeDependencies dependencies = new ExchangeDependencies(
                vertx, (type, id, fields) -> {}, new MetricRegistry(), new PlainErrors(), LONG);
        CallerExchange.create(dependencies, request, () -> false, ended::countDown, written::countDown);
        began.countDown();
    }
}
