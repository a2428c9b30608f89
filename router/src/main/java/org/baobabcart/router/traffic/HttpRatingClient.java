package org.baobabcart.router.traffic;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.smallrye.mutiny.Uni;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpMethod;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalDouble;
import org.baobabcart.router.control.Futures;
import org.baobabcart.router.transport.BoundedHttpClient;
import org.baobabcart.router.transport.BoundedResponse;
import org.baobabcart.router.transport.Transport;

/** Requests ratings over HTTP. Thread-safe. */
public final class HttpRatingClient implements RatingClient {
    private static final String PATH = "/ratings";

    private static final int CONNECTIONS = 32;
    /** A rating response is a small JSON object with one number. */
    private static final int MAX_RESPONSE_BYTES = 64 * 1024;

    private final BoundedHttpClient client;
    private final String baseUrl;
    private final Duration timeout;

    private HttpRatingClient(BoundedHttpClient client, String baseUrl, Duration timeout) {
        this.client = client;
        this.baseUrl = baseUrl;
        this.timeout = timeout;
    }

    /**
     * Creates a client of one rating service.
     *
     * @param baseUrl the base URL, such as {@code http://127.0.0.1:9000}
     * @param timeout the time after which a response is left without a rating
     * @param transport the TLS and address options of connections
     */
    public static HttpRatingClient create(Vertx vertx, String baseUrl, Duration timeout, Transport transport) {
        HttpClientOptions options = transport.toUpstreams(new HttpClientOptions());
        return new HttpRatingClient(
                BoundedHttpClient.create(vertx, options, CONNECTIONS, MAX_RESPONSE_BYTES), baseUrl, timeout);
    }

    @Override
    public Uni<OptionalDouble> rate(RatingRequest request) {
        return Futures.toUni(() -> post(request)).onFailure().recoverWithItem(OptionalDouble.empty());
    }

    private Future<OptionalDouble> post(RatingRequest request) {
        ObjectNode body = JsonNodeFactory.instance.objectNode();
        body.put("requestId", request.requestId());
        body.put("model", request.model());
        body.put("version", request.version());
        body.put("kind", request.kind());
        body.put("prompt", request.prompt());
        body.put("answer", request.response());
        return client.call(HttpMethod.POST, baseUrl + PATH, Buffer.buffer(body.toString()), timeout)
                .map(response -> Optional.of(response)
                        .filter(BoundedResponse::isSuccess)
                        .flatMap(success -> CompletionJson.parse(success.body().getBytes()))
                        .map(json -> json.path("rating"))
                        .filter(JsonNode::isNumber)
                        .map(rating -> OptionalDouble.of(Math.max(0, Math.min(1, rating.doubleValue()))))
                        .orElse(OptionalDouble.empty()));
    }
}
