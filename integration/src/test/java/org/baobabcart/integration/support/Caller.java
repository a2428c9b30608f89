package org.baobabcart.integration.support;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.baobabcart.launcher.FleetNode;
import org.baobabcart.launcher.LocalFleet;
import org.baobabcart.model.request.Headers;

/** HTTP client with the key of one workspace. Thread-safe. */
public final class Caller {
    private static final Duration TIMEOUT = Duration.ofSeconds(90);

    private static final String CHAT = "/v1/chat/completions";
    private static final String BOOKING_TIMEOUT_MILLIS = "20000";

    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final String key;

    private Caller(String key) {
        this.key = key;
    }

    public static Caller of(LocalFleet fleet) {
        return new Caller(fleet.defaultSheet().workspaces().get(0).key());
    }

    public CompletableFuture<CallerResponse> chat(FleetNode router, String model, String prompt, int tokens) {
        return chat(router, model, prompt, tokens, Map.of());
    }

    public CompletableFuture<CallerResponse> chat(
            FleetNode router, String model, String prompt, int tokens, Map<String, String> headers) {
        return send(router, CHAT, body(model, prompt, tokens, false), headers);
    }

    public CompletableFuture<CallerResponse> stream(FleetNode router, String model, String prompt, int tokens) {
        return send(router, CHAT, body(model, prompt, tokens, true), Map.of());
    }

    public CompletableFuture<CallerResponse> book(FleetNode router, String idempotencyKey) {
        Map<String, String> headers =
                Map.of(Headers.IDEMPOTENCY_KEY, idempotencyKey, Headers.TIMEOUT_MILLIS, BOOKING_TIMEOUT_MILLIS);
        return send(router, "/services/orders/bookings", "{\"panes\":1}", headers);
    }

    private CompletableFuture<CallerResponse> send(
            FleetNode router, String path, String body, Map<String, String> headers) {
        HttpRequest.Builder request = HttpRequest.newBuilder(URI.create(router.caller() + path))
                .timeout(TIMEOUT)
                .header("Authorization", "Bearer " + key)
                .header("Content-Type", "application/json")
                .POST(HttpRequest.BodyPublishers.ofString(body));
        headers.forEach(request::header);
        return client.sendAsync(request.build(), HttpResponse.BodyHandlers.ofString())
                .thenApply(CallerResponse::of)
                .exceptionally(CallerResponse::ofFailure);
    }

    private static String body(String model, String prompt, int tokens, boolean stream) {
        return "{\"model\":\"%s\",\"stream\":%b,\"max_tokens\":%d,\"messages\":[{\"role\":\"user\",\"content\":\"%s\"}]}"
                .formatted(model, stream, tokens, prompt);
    }
}
