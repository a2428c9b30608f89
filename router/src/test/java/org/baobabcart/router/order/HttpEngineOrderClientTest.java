package org.baobabcart.router.order;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.baobabcart.model.platform.VirtualMachine;
import org.baobabcart.router.transport.Transport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class HttpEngineOrderClientTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(1);
    private static final EngineOrder ORDER = new EngineOrder("a-1-1", 7, EngineOrder.LOAD_MODEL, "layout", "v2");
    private static final int NO_RESPONSE = 0;

    private final Vertx vertx = Vertx.vertx();
    private final List<String> bodies = new CopyOnWriteArrayList<>();
    private volatile int status = 200;
    private HttpServer server;

    @BeforeEach
    void start() throws Exception {
        server = vertx.createHttpServer()
                .requestHandler(this::respond)
                .listen(0, "127.0.0.1")
                .toCompletionStage()
                .toCompletableFuture()
                .get(10, TimeUnit.SECONDS);
    }

    @AfterEach
    void stop() {
        vertx.close().toCompletionStage().toCompletableFuture().join();
    }

    @Test
    void mapsResponsesToResults() {
        assertThat(send(200, true), equalTo(OrderSendResult.ACCEPTED));
        assertThat(send(202, true), equalTo(OrderSendResult.ACCEPTED));
        assertThat(send(409, true), equalTo(OrderSendResult.STALE));
        assertThat(send(400, true), equalTo(OrderSendResult.REFUSED));
        assertThat(send(NO_RESPONSE, true), equalTo(OrderSendResult.UNKNOWN));
        assertThat(
                List.copyOf(bodies).subList(0, 1),
                contains("{\"orderId\":\"a-1-1\",\"fencing\":7,\"action\":\"load-model\","
                        + "\"model\":\"layout\",\"version\":\"v2\"}"));
    }

    @Test
    void nothingIsSentWithoutTheLease() {
        assertThat(send(200, false), equalTo(OrderSendResult.NOT_SENT));
        assertThat(bodies, empty());
    }

    private OrderSendResult send(int newStatus, boolean mayAct) {
        status = newStatus;
        VirtualMachine engine = new VirtualMachine(
                "engine",
                VirtualMachine.Role.ENGINE,
                "a",
                VirtualMachine.State.LIVE,
                "http://127.0.0.1:" + server.actualPort(),
                "layout",
                "v1",
                "");
        return HttpEngineOrderClient.create(vertx, TIMEOUT, Transport.plain())
                .send(engine, ORDER, () -> mayAct)
                .await()
                .atMost(Duration.ofSeconds(10));
    }

    private void respond(HttpServerRequest request) {
        request.bodyHandler(body -> {
            bodies.add(body.toString());
            if (status != NO_RESPONSE) {
                request.response().setStatusCode(status).end();
            }
        });
    }
}
