package org.baobabcart.standins.base;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.BiFunction;
import java.util.function.BooleanSupplier;

/** Runs a stand-in within the test and makes blocking calls to it. */
public final class RunningStandIn implements AutoCloseable {
    private static final Duration TIMEOUT = Duration.ofSeconds(30);

    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final Vertx vertx;
    private final Map<String, Integer> ports;

    private RunningStandIn(Vertx vertx, Map<String, Integer> ports) {
        this.vertx = vertx;
        this.ports = ports;
    }

    public static RunningStandIn start(
            BiFunction<Vertx, StandInSettings, StandInServer> factory, StandInSettings settings) throws Exception {
        Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
        Future<Map<String, Integer>> ports = factory.apply(vertx, settings).start();
        return new RunningStandIn(
                vertx, ports.toCompletionStage().toCompletableFuture().get(30, TimeUnit.SECONDS));
    }

    public static StandInSettings settings() {
        return settings(new StandInSettings.Engine("layout-large", "v1", 2, 1, 0.95, 64, false, 0, ""));
    }

    public static StandInSettings settings(StandInSettings.Engine engine) {
        return new StandInSettings(
                "test", 0, "a", engine, new StandInSettings.Platform(100_000, 100_000, 100), "orders", "", 0);
    }

    public int port(String name) {
        return ports.get(name);
    }

    public HttpResponse<String> call(String method, String path, String body, String... headers) throws Exception {
        HttpRequest.BodyPublisher publisher = HttpRequest.BodyPublishers.ofString(body);
        HttpRequest.Builder request = HttpRequest.newBuilder(uri(path)).method(method, publisher);
        if (headers.length > 0) {
            request.headers(headers);
        }
        return client.send(request.timeout(TIMEOUT).build(), HttpResponse.BodyHandlers.ofString());
    }

    public HttpResponse<java.util.stream.Stream<String>> openLines(String path) throws Exception {
        HttpRequest request = HttpRequest.newBuilder(uri(path)).build();
        return client.send(request, HttpResponse.BodyHandlers.ofLines());
    }

    public JsonObject json(String path) throws Exception {
        return new JsonObject(call("GET", path, "").body());
    }

    public void fault(String faults) throws Exception {
        call("POST", "/standin/faults", faults);
    }

    /** Opens a TCP connection to which a test writes raw requests. */
    public static Socket connect(int port) throws IOException {
        Socket socket = new Socket("127.0.0.1", port);
        socket.setSoTimeout((int) TIMEOUT.toMillis());
        return socket;
    }

    public static void send(Socket socket, String request) throws IOException {
        socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
        socket.getOutputStream().flush();
    }

    public static void awaitTrue(BooleanSupplier condition) {
        long deadline = System.nanoTime() + TIMEOUT.toNanos();
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > deadline) {
                throw new AssertionError("the condition did not become true in time");
            }
            Thread.onSpinWait();
        }
    }

    @Override
    public void close() {
        vertx.close().toCompletionStage().toCompletableFuture().join();
    }

    private URI uri(String path) {
        return URI.create("http://127.0.0.1:" + port("http") + path);
    }
}
