package org.baobabcart.cli.demo;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.smallrye.mutiny.Uni;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.ext.web.client.HttpRequest;
import io.vertx.ext.web.client.HttpResponse;
import io.vertx.ext.web.client.WebClient;
import java.time.Duration;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import org.baobabcart.launcher.FleetNode;
import org.baobabcart.model.request.Headers;
import org.baobabcart.router.control.Futures;

/** Sends requests as a caller of a workspace. Thread-safe. */
final class DemoCaller {
    private static final Duration TIMEOUT = Duration.ofSeconds(20);
    private static final int MAX_TOKENS = 16;
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final WebClient client;
    private final String key;

    private DemoCaller(WebClient client, String key) {
        this.client = client;
        this.key = key;
    }

    static DemoCaller create(Vertx vertx, String key) {
        return new DemoCaller(WebClient.create(vertx), key);
    }

    /** Sends a chat request; an empty session starts a new one. */
    Uni<DemoResponse> chat(FleetNode router, String model, String prompt, String session) {
        return send(
                router,
                "/v1/chat/completions",
                session.isEmpty() ? Map.of() : Map.of(Headers.SESSION, session),
                body(model, prompt, false));
    }

    /** Sends a chat request with a streamed response. */
    Uni<DemoResponse> stream(FleetNode router, String model, String prompt) {
        return send(router, "/v1/chat/completions", Map.of(), body(model, prompt, true));
    }

    /** Sends a booking, which is not repeatable. */
    Uni<DemoResponse> book(FleetNode router, String idempotencyKey, String item) {
        String body = MAPPER.createObjectNode().put("item", item).toString();
        return send(router, "/services/orders/bookings", Map.of(Headers.IDEMPOTENCY_KEY, idempotencyKey), body);
    }

    private Uni<DemoResponse> send(FleetNode router, String path, Map<String, String> headers, String body) {
        return Futures.toUni(() -> request(router, path, headers).sendBuffer(Buffer.buffer(body)))
                .map(DemoCaller::toDemoResponse)
                .onFailure()
                .recoverWithItem(failure -> DemoResponse.failed(failure.getMessage()));
    }

    private HttpRequest<Buffer> request(FleetNode router, String path, Map<String, String> headers) {
        HttpRequest<Buffer> request = client.requestAbs(HttpMethod.POST, router.caller() + path)
                .timeout(TIMEOUT.toMillis())
                .putHeader("Authorization", "Bearer " + key)
                .putHeader("Content-Type", "application/json");
        headers.forEach(request::putHeader);
        return request;
    }

    private static String body(String model, String prompt, boolean stream) {
        ObjectNode body = MAPPER.createObjectNode()
                .put("model", model)
                .put("stream", stream)
                .put("max_tokens", MAX_TOKENS);
        body.putArray("messages").addObject().put("role", "user").put("content", prompt);
        return body.toString();
    }

    private static DemoResponse toDemoResponse(HttpResponse<Buffer> response) {
        Map<String, String> headers = new HashMap<>();
        response.headers().forEach((name, value) -> headers.put(name.toLowerCase(Locale.ROOT), value));
        String body = response.bodyAsString();
        return new DemoResponse(response.statusCode(), headers, body == null ? "" : body);
    }
}
