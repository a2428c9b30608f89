package org.baobabcart.launcher;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import org.baobabcart.model.result.BaobabcartException;
import org.baobabcart.model.result.ResultCode;

/** Blocking HTTP calls with JSON bodies to processes on loopback. Thread-safe. */
public final class JsonCalls {
    private static final Duration TIMEOUT = Duration.ofSeconds(20);
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final HttpClient client = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(TIMEOUT)
            .build();

    private JsonCalls() {}

    /** Calls with a connection pool of their own. */
    public static JsonCalls create() {
        return new JsonCalls();
    }

    /**
     * An answer. Immutable.
     *
     * @param status the HTTP status
     * @param body the body; missing where it is empty or no JSON
     */
    public record Answer(int status, JsonNode body) {}

    /** Reads. */
    public Answer get(String url) {
        return send(HttpRequest.newBuilder(URI.create(url)).GET());
    }

    /** Creates or starts something. */
    public Answer post(String url, JsonNode body) {
        return send(HttpRequest.newBuilder(URI.create(url)).POST(publisher(body)));
    }

    /** Creates or starts something with a JSON text. */
    public Answer post(String url, String body) {
        return send(HttpRequest.newBuilder(URI.create(url)).POST(HttpRequest.BodyPublishers.ofString(body)));
    }

    /** Replaces something. */
    public Answer put(String url, JsonNode body) {
        return send(HttpRequest.newBuilder(URI.create(url)).PUT(publisher(body)));
    }

    private Answer send(HttpRequest.Builder request) {
        try {
            HttpResponse<String> response = client.send(
                    request.timeout(TIMEOUT)
                            .header("Content-Type", "application/json")
                            .build(),
                    HttpResponse.BodyHandlers.ofString());
            return new Answer(response.statusCode(), parse(response.body()));
        } catch (IOException exception) {
            throw BaobabcartException.of(ResultCode.UPSTREAM_UNREACHABLE, exception.toString())
                    .withCause(exception);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            throw BaobabcartException.of(ResultCode.INTERNAL, "interrupted").withCause(exception);
        }
    }

    private static JsonNode parse(String body) {
        try {
            return MAPPER.readTree(body);
        } catch (JsonProcessingException exception) {
            return MAPPER.missingNode();
        }
    }

    private static HttpRequest.BodyPublisher publisher(JsonNode body) {
        return HttpRequest.BodyPublishers.ofString(body.toString());
    }
}
