package org.baobabcart.router.transport;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.net.NetServer;
import java.time.Duration;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A server that sends interim responses before its final response, or without one. */
class InterimResponsesTest {
    private static final String CONTINUE = "HTTP/1.1 100 Continue\r\n\r\n";
    private static final String EARLY_HINTS = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";
    private static final String FINAL = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(20);
    private static final long MAX_SECONDS = 10;
    private static final int MAX_BYTES = 1024;

    private final Vertx vertx = Vertx.vertx();

    @AfterEach
    void closeVertx() throws Exception {
        await(vertx.close());
    }

    @ParameterizedTest
    @ValueSource(strings = {CONTINUE, EARLY_HINTS})
    void connectionWithTooManyInterimResponsesIsClosedBeforeTheTimeout(String interim) {
        ExecutionException failure =
                assertThrows(ExecutionException.class, () -> callServerThatSends(interim.repeat(10_000)));
        assertThat(failure.getCause().getMessage(), containsString("interim responses"));
    }

    @Test
    void someInterimResponsesAreAccepted() throws Exception {
        assertThat(
                callServerThatSends(CONTINUE + EARLY_HINTS + CONTINUE + FINAL).status(), is(200));
    }

    private BoundedResponse callServerThatSends(String text) throws Exception {
        NetServer server = await(vertx.createNetServer()
                .connectHandler(socket -> socket.handler(ignored -> socket.write(text)))
                .listen(0, "127.0.0.1"));
        BoundedHttpClient client = BoundedHttpClient.create(vertx, new HttpClientOptions(), 1, MAX_BYTES);
        return await(client.call(HttpMethod.GET, "http://127.0.0.1:" + server.actualPort() + "/", CALL_TIMEOUT));
    }

    private static <T> T await(Future<T> future) throws Exception {
        return future.toCompletionStage().toCompletableFuture().get(MAX_SECONDS, TimeUnit.SECONDS);
    }
}
