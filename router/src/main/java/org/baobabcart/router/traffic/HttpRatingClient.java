package org.baobabcart.router.traffic;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.smallrye.mutiny.Uni;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpResponseExpectation;
import io.vertx.ext.web.client.WebClient;
import io.vertx.ext.web.client.WebClientOptions;
import java.time.Duration;
import java.util.OptionalDouble;
import org.baobabcart.router.control.Futures;
import org.baobabcart.router.transport.Transport;

/** Asks the rating service over HTTP. Thread-safe. */
public final class HttpRatingClient implements RatingClient {
    private static final String PATH = "/ratings";

    private final WebClient client;
    private final String baseUrl;
    private final Duration timeout;

    private HttpRatingClient(WebClient client, String baseUrl, Duration timeout) {
        this.client = client;
        this.baseUrl = baseUrl;
        this.timeout = timeout;
    }

    /**
     * A client of one rating service.
     *
     * @param baseUrl the address, such as {@code http://127.0.0.1:9000}
     * @param timeout the time after which an answer goes without a rating
     * @param transport how connections are made
     */
    public static HttpRatingClient create(Vertx vertx, String baseUrl, Duration timeout, Transport transport) {
        WebClientOptions options = transport.toUpstreams(new WebClientOptions());
        return new HttpRatingClient(WebClient.create(vertx, options), baseUrl, timeout);
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
        body.put("answer", request.answer());
        return client.postAbs(baseUrl + PATH)
                .timeout(timeout.toMillis())
                .putHeader("Content-Type", "application/json")
                .sendBuffer(Buffer.buffer(body.toString()))
                .expecting(HttpResponseExpectation.SC_SUCCESS)
                .map(response -> AnswerText.parse(response.bodyAsBuffer().getBytes())
                        .map(json -> json.path("rating"))
                        .filter(JsonNode::isNumber)
                        .map(rating -> OptionalDouble.of(Math.max(0, Math.min(1, rating.doubleValue()))))
                        .orElse(OptionalDouble.empty()));
    }
}
