package org.baobabcart.router.traffic;

import io.vertx.core.Handler;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.baobabcart.model.platform.VirtualMachine;
import org.baobabcart.model.request.Headers;

/** An upstream within the test, whose behaviour each test sets. */
final class FakeUpstream {
    private final String name;
    private final HttpServer server;
    private final List<HttpServerRequest> requests = new CopyOnWriteArrayList<>();
    private final List<String> bodies = new CopyOnWriteArrayList<>();
    private volatile Handler<HttpServerRequest> behaviour;

    private FakeUpstream(Vertx vertx, String name, Handler<HttpServerRequest> behaviour) throws Exception {
        this.name = name;
        this.behaviour = behaviour;
        this.server = vertx.createHttpServer()
                .requestHandler(this::handle)
                .listen(0, "127.0.0.1")
                .toCompletionStage()
                .toCompletableFuture()
                .get(10, TimeUnit.SECONDS);
    }

    static FakeUpstream start(Vertx vertx, String name, Handler<HttpServerRequest> behaviour) throws Exception {
        return new FakeUpstream(vertx, name, behaviour);
    }

    static HttpServerResponse echoing(HttpServerRequest request) {
        return request.response().putHeader(Headers.ATTEMPT_ID, request.getHeader(Headers.ATTEMPT_ID));
    }

    static Handler<HttpServerRequest> answering(String text) {
        return request -> echoing(request)
                .putHeader("Content-Type", "application/json")
                .end("{\"choices\":[{\"message\":{\"role\":\"assistant\",\"content\":\"" + text
                        + "\"}}],\"usage\":{\"prompt_tokens\":3,\"completion_tokens\":4}}");
    }

    static Buffer event(String text) {
        return Buffer.buffer("data: {\"choices\":[{\"delta\":{\"content\":\"" + text + "\"}}]}\n\n");
    }

    static Handler<HttpServerRequest> streaming(String... parts) {
        return request -> {
            HttpServerResponse response = beginStream(request);
            for (String part : parts) {
                response.write(event(part));
            }
            response.end("data: {\"choices\":[],\"usage\":{\"prompt_tokens\":3,\"completion_tokens\":4}}\n\n"
                    + "data: [DONE]\n\n");
        };
    }

    static HttpServerResponse beginStream(HttpServerRequest request) {
        return echoing(request).putHeader("Content-Type", "text/event-stream").setChunked(true);
    }

    void behave(Handler<HttpServerRequest> newBehaviour) {
        behaviour = newBehaviour;
    }

    /** Breaks the connection and refuses new ones, as a process that dies. */
    void die() {
        behaviour = request ->
                server.close().onComplete(ignored -> request.connection().close());
    }

    List<HttpServerRequest> requests() {
        return requests;
    }

    List<String> bodies() {
        return bodies;
    }

    VirtualMachine engine(String model, String version) {
        return machine(VirtualMachine.Role.ENGINE, model, version, "");
    }

    VirtualMachine service(String service) {
        return machine(VirtualMachine.Role.SERVICE, "", "", service);
    }

    void stop() throws Exception {
        server.close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
    }

    private VirtualMachine machine(VirtualMachine.Role role, String model, String version, String service) {
        String address = "http://127.0.0.1:" + server.actualPort();
        return new VirtualMachine(name, role, "one", VirtualMachine.State.LIVE, address, model, version, service);
    }

    private void handle(HttpServerRequest request) {
        if (request.path().equals("/health")) {
            request.response().end();
            return;
        }
        request.body().onSuccess(body -> {
            bodies.add(body.toString());
            requests.add(request);
            behaviour.handle(request);
        });
    }
}
