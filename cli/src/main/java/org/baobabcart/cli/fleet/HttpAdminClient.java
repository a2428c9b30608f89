package org.baobabcart.cli.fleet;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.smallrye.mutiny.Uni;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.ext.web.client.HttpRequest;
import io.vertx.ext.web.client.HttpResponse;
import io.vertx.ext.web.client.WebClient;
import io.vertx.ext.web.client.WebClientOptions;
import java.time.Duration;
import org.baobabcart.model.result.BaobabcartException;
import org.baobabcart.model.result.ResultCode;
import org.baobabcart.router.control.Futures;

/** Admin calls over HTTP by Vert.x. */
public final class HttpAdminClient implements AdminClient {
    private static final Duration TIMEOUT = Duration.ofSeconds(3);
    private static final int FIRST_FAILURE_STATUS = 300;
    private static final ObjectMapper MAPPER = JsonMapper.builder().build();

    private final WebClient client;

    private HttpAdminClient(WebClient client) {
        this.client = client;
    }

    /** A client on the event loops of a Vert.x instance. */
    public static HttpAdminClient create(Vertx vertx) {
        WebClientOptions options = new WebClientOptions()
                .setConnectTimeout((int) TIMEOUT.toMillis())
                .setFollowRedirects(false);
        return new HttpAdminClient(WebClient.create(vertx, options));
    }

    @Override
    public Uni<JsonNode> get(String address) {
        return send(HttpMethod.GET, address).map(response -> json(address, response));
    }

    @Override
    public Uni<Void> post(String address) {
        return send(HttpMethod.POST, address).replaceWithVoid();
    }

    private Uni<HttpResponse<Buffer>> send(HttpMethod method, String address) {
        return Futures.toUni(() -> request(method, address).send())
                .onFailure()
                .transform(failure -> unreachable(address, failure))
                .map(response -> succeeded(address, response));
    }

    private HttpRequest<Buffer> request(HttpMethod method, String address) {
        return client.requestAbs(method, address).timeout(TIMEOUT.toMillis());
    }

    private static HttpResponse<Buffer> succeeded(String address, HttpResponse<Buffer> response) {
        if (response.statusCode() >= FIRST_FAILURE_STATUS) {
            throw BaobabcartException.of(ResultCode.UPSTREAM_FAILED, "HTTP status " + response.statusCode())
                    .withLocation(address);
        }
        return response;
    }

    private static JsonNode json(String address, HttpResponse<Buffer> response) {
        String body = response.bodyAsString();
        try {
            return MAPPER.readTree(body == null ? "" : body);
        } catch (JsonProcessingException exception) {
            throw BaobabcartException.of(ResultCode.UPSTREAM_FAILED, "the answer is not JSON")
                    .withLocation(address)
                    .withCause(exception);
        }
    }

    private static Throwable unreachable(String address, Throwable failure) {
        return BaobabcartException.of(ResultCode.UPSTREAM_UNREACHABLE, failure.getMessage())
                .withLocation(address)
                .withCause(failure);
    }
}
