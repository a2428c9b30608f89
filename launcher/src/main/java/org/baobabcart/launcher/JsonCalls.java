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

/** Blocking HTTP client for JSON requests to loopback processes. Thread-safe. */
public final class JsonCalls {
    private static final Duration TIMEOUT = Duration.ofSeconds(20);
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final HttpClient client = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(TIMEOUT)
            .build();

    private JsonCalls() {}

    /** Creates a client with a separate connection pool. */
    public static JsonCalls create() {
        return new JsonCalls();
    }

    /**
     * An HTTP response with a JSON body. Immutable.
     *
     * @param status the HTTP status
     * @param body the body; a missing node if the body is empty or not valid JSON
     */
    public record Response(int status, JsonNode body) {}

    /** Sends a GET request. */
    public Response get(String url) {
        return send(HttpRequest.newBuilder(URI.create(url)).GET());
    }

    /** Sends a POST request. */
    public Response post(String url, JsonNode body) {
        return send(HttpRequest.newBuilder(URI.create(url)).POST(publisher(body)));
    }

    /** Sends a POST request whose body is JSON text. */
    public Response post(String url, String body) {
        return send(HttpRequest.newBuilder(URI.create(url)).POST(HttpRequest.BodyPublishers.ofString(body)));
    }

    /** Sends a PUT request. */
    public Response put(String url, JsonNode body) {
        return send(HttpRequest.newBuilder(URI.create(url)).PUT(publisher(body)));
    }

    private Response send(HttpRequest.Builder request) {
        try {
            HttpResponse<String> response = client.send(
                    request.timeout(TIMEOUT)
                            .header("Content-Type", "application/json")
                            .build(),
                    HttpResponse.BodyHandlers.ofString());
            return new Response(response.statusCode(), parse(response.body()));
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
