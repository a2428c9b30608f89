package org.baobabcart.router.exchange;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.allOf;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.startsWith;

import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Connections of clients under a budget that one head fills. */
class ConnectionGuardTest {
    private static final Duration LONG = Duration.ofSeconds(20);
    private static final String LARGE_HEAD = "GET / HTTP/1.1\r\n" + "a: b\r\n".repeat(500) + "\r\n";

    private static final String CHUNKED_HEAD = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";

    private final Vertx vertx = Vertx.vertx();
    private final MetricRegistry metrics = new MetricRegistry();
    private final BlockingQueue<HttpServerRequest> arrived = new LinkedBlockingQueue<>();
    private ConnectionGuard guard;
    private volatile Context context;
    private int port;

    private void start(Duration headTime, int connections) throws Exception {
        ExchangeDependencies dependencies =
                new ExchangeDependencies(vertx, (type, id, fields) -> {}, metrics, new PlainErrors(), LONG);
        ClientMemory memory = ClientMemory.create(new ClientLimits(1, 1_000, 100_000, connections), metrics);
        ConnectionGuard.Limits limits = new ConnectionGuard.Limits(16_384, headTime, LONG);
        guard = ConnectionGuard.create(dependencies, memory, () -> limits);
        HttpServer server = vertx.createHttpServer(new HttpServerOptions().setHttp2ClearTextEnabled(false))
                .connectionHandler(guard::connectionOpened)
                .requestHandler(request -> {
                    guard.requestBegan(request.connection());
                    context = Vertx.currentContext();
                    arrived.add(request);
                });
        port = server.listen(0, "127.0.0.1")
                .toCompletionStage()
                .toCompletableFuture()
                .get(LONG.toSeconds(), TimeUnit.SECONDS)
                .actualPort();
    }

    @AfterEach
    void closeVertx() {
        vertx.close();
    }

    private Socket connect(String sent) throws IOException {
        Socket socket = new Socket("127.0.0.1", port);
        socket.setSoTimeout((int) LONG.toMillis());
        socket.getOutputStream().write(sent.getBytes(StandardCharsets.ISO_8859_1));
        return socket;
    }

    private HttpServerRequest next() throws InterruptedException {
        return arrived.poll(LONG.toSeconds(), TimeUnit.SECONDS);
    }

    private void answer(HttpServerRequest request) {
        context.runOnContext(ignored -> request.response().end("done").onComplete(written -> {
            guard.requestEnded(request.connection());
            guard.responseWritten(request.connection());
        }));
    }

    private static String read(Socket socket) throws IOException {
        byte[] read = new byte[1_024];
        int length = socket.getInputStream().read(read);
        return length < 0 ? "" : new String(read, 0, length, StandardCharsets.ISO_8859_1);
    }

    private void awaitGauge(String name, Number value) throws InterruptedException {
        long end = System.nanoTime() + LONG.toNanos();
        while (!String.valueOf(metrics.getGauges().get(name).getValue()).equals(value.toString())) {
            assertThat(name, System.nanoTime() < end, is(true));
            TimeUnit.MILLISECONDS.sleep(5);
        }
    }

    private void awaitClosed(long count) throws InterruptedException {
        long end = System.nanoTime() + LONG.toNanos();
        while (metrics.meter("clients.closed").getCount() != count) {
            assertThat("closed", System.nanoTime() < end, is(true));
            TimeUnit.MILLISECONDS.sleep(5);
        }
    }

    @Test
    void headThatWaitsForMemoryIsServedWhenItIsFree() throws Exception {
        start(LONG, 10);
        try (Socket first = connect(LARGE_HEAD)) {
            HttpServerRequest running = next();
            try (Socket second = connect(LARGE_HEAD)) {
                awaitGauge("clients.heads-waiting", 1);
                assertThat(arrived.isEmpty(), is(true));
                answer(running);
                assertThat(read(first), containsString("200 OK"));
                answer(next());
                assertThat(read(second), containsString("200 OK"));
            }
        }
        awaitGauge("clients.head-bytes", 0);
    }

    @Test
    void headThatFindsNoMemoryInItsTimeIsRefused() throws Exception {
        start(Duration.ofMillis(300), 10);
        try (Socket first = connect(LARGE_HEAD)) {
            next();
            try (Socket second = connect(LARGE_HEAD)) {
                assertThat(read(second), allOf(startsWith("HTTP/1.1 429"), containsString("\"ran\":\"no\"")));
            }
            assertThat(first.isConnected(), is(true));
        }
        assertThat(arrived.isEmpty(), is(true));
    }

    @Test
    void firstHeadThatNeverCompletesIsRefused() throws Exception {
        start(Duration.ofMillis(500), 10);
        try (Socket client = connect("GET / HT")) {
            assertThat(read(client), startsWith("HTTP/1.1 408"));
        }
    }

    @Test
    void headOfAFurtherRequestThatIsTooSlowIsRefused() throws Exception {
        start(Duration.ofMillis(500), 10);
        try (Socket client = connect("GET / HTTP/1.1\r\n\r\n")) {
            answer(next());
            assertThat(read(client), containsString("200 OK"));
            client.getOutputStream().write("GET / HT".getBytes(StandardCharsets.ISO_8859_1));
            assertThat(read(client), startsWith("HTTP/1.1 408"));
        }
    }

    @Test
    void trailersThatDoNotFitCloseTheConnection() throws Exception {
        start(LONG, 10);
        try (Socket client = connect(CHUNKED_HEAD + "1\r\nx\r\n0\r\n")) {
            next();
            client.getOutputStream().write("a: b\r\n".repeat(700).getBytes(StandardCharsets.ISO_8859_1));
            awaitClosed(1);
        }
        awaitGauge("clients.head-bytes", 0);
    }

    @Test
    void requestWithTrailersIsServed() throws Exception {
        start(LONG, 10);
        try (Socket client = connect(CHUNKED_HEAD + "1\r\nx\r\n0\r\nA: b\r\nC: d\r\n\r\n")) {
            answer(next());
            assertThat(read(client), containsString("200 OK"));
        }
        awaitGauge("clients.head-bytes", 0);
        assertThat(metrics.meter("clients.closed").getCount(), is(0L));
    }

    @Test
    void idlestConnectionIsClosedBeyondTheLimit() throws Exception {
        start(LONG, 2);
        try (Socket running = connect("GET / HTTP/1.1\r\n\r\n")) {
            HttpServerRequest request = next();
            try (Socket idle = connect("");
                    Socket newest = connect("GET / HTTP/1.1\r\n\r\n")) {
                assertThat(idle.getInputStream().read(), is(-1));
                answer(request);
                assertThat(read(running), containsString("200 OK"));
                answer(next());
                assertThat(read(newest), containsString("200 OK"));
            }
        }
    }
}
