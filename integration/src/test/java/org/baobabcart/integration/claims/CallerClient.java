package org.baobabcart.integration.claims;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.baobabcart.launcher.FleetNode;
import org.baobabcart.model.request.Headers;

/** A caller of one workspace. Thread-safe. */
final class CallerClient {
    private static final Duration TIMEOUT = Duration.ofSeconds(60);
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final String key;

    CallerClient(String key) {
        this.key = key;
    }

    CompletableFuture<Ending> book(FleetNode router, String idempotencyKey) {
        HttpRequest request = request(router, "/services/orders/bookings", "{\"panes\":1}")
                .header(Headers.IDEMPOTENCY_KEY, idempotencyKey)
                .build();
        return send(request);
    }

    CompletableFuture<Ending> chat(FleetNode router, String prompt) {
        String body = "{\"model\":\"layout-small\",\"max_tokens\":4,\"messages\":[{\"role\":\"user\",\"content\":\""
                + prompt + "\"}]}";
        return send(request(router, "/v1/chat/completions", body).build());
    }

    private HttpRequest.Builder request(FleetNode router, String path, String body) {
        return HttpRequest.newBuilder(URI.create(router.caller() + path))
                .timeout(TIMEOUT)
                .header("Authorization", "Bearer " + key)
                .header("Content-Type", "application/json")
                .header(Headers.TIMEOUT_MILLIS, "20000")
                .POST(HttpRequest.BodyPublishers.ofString(body));
    }

    private CompletableFuture<Ending> send(HttpRequest request) {
        return client.sendAsync(request, HttpResponse.BodyHandlers.ofString())
                .thenApply(response -> new Ending(
                        response.statusCode(),
                        response.headers().firstValue(Headers.REQUEST_ID).orElse(""),
                        parse(response.body())))
                .exceptionally(failure -> new Ending(0, "", MissingNode.getInstance()));
    }

    private static JsonNode parse(String body) {
        try {
            return MAPPER.readTree(body);
        } catch (JsonProcessingException exception) {
            return MissingNode.getInstance();
        }
    }
}
