package org.baobabcart.cli.fleet;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.smallrye.mutiny.Uni;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.ext.web.client.HttpResponse;
import io.vertx.ext.web.client.WebClient;
import io.vertx.ext.web.client.WebClientOptions;
import java.time.Duration;
import org.baobabcart.model.result.BaobabcartException;
import org.baobabcart.model.result.ResultCode;
import org.baobabcart.router.control.Futures;
import org.baobabcart.router.transport.Transport;

/** Implements {@link AdminClient} with the Vert.x web client. */
public final class HttpAdminClient implements AdminClient {
    private static final Duration TIMEOUT = Duration.ofSeconds(3);
    private static final int FIRST_FAILURE_STATUS = 300;
    private static final ObjectMapper MAPPER = JsonMapper.builder().build();

    private final WebClient routerClient;
    private final WebClient upstreamClient;
    private final String scheme;

    private HttpAdminClient(WebClient routerClient, WebClient upstreamClient, String scheme) {
        this.routerClient = routerClient;
        this.upstreamClient = upstreamClient;
        this.scheme = scheme;
    }

    /** Creates a client that uses the event loops of a Vert.x instance. */
    public static HttpAdminClient create(Vertx vertx, Transport transport) {
        return new HttpAdminClient(
                WebClient.create(vertx, transport.toAdminPorts(options())),
                WebClient.create(vertx, transport.toUpstreams(options())),
                transport.scheme());
    }

    @Override
    public Uni<JsonNode> get(String address) {
        return send(upstreamClient, HttpMethod.GET, address).map(response -> parseJson(address, response));
    }

    @Override
    public Uni<JsonNode> get(String router, String path) {
        String address = address(router, path);
        return send(routerClient, HttpMethod.GET, address).map(response -> parseJson(address, response));
    }

    @Override
    public Uni<Void> post(String router, String path) {
        return send(routerClient, HttpMethod.POST, address(router, path)).replaceWithVoid();
    }

    private static WebClientOptions options() {
        return new WebClientOptions()
                .setConnectTimeout((int) TIMEOUT.toMillis())
                .setFollowRedirects(false);
    }

    private String address(String router, String path) {
        return scheme + "://" + router + path;
    }

    private static Uni<HttpResponse<Buffer>> send(WebClient client, HttpMethod method, String address) {
        return Futures.toUni(() -> client.requestAbs(method, address)
                        .timeout(TIMEOUT.toMillis())
                        .send())
                .onFailure()
                .transform(failure -> unreachable(address, failure))
                .map(response -> requireSuccess(address, response));
    }

    private static HttpResponse<Buffer> requireSuccess(String address, HttpResponse<Buffer> response) {
        if (response.statusCode() >= FIRST_FAILURE_STATUS) {
            throw BaobabcartException.of(ResultCode.UPSTREAM_FAILED, "HTTP status " + response.statusCode())
                    .withLocation(address);
        }
        return response;
    }

    private static JsonNode parseJson(String address, HttpResponse<Buffer> response) {
        String body = response.bodyAsString();
        try {
            return MAPPER.readTree(body == null ? "" : body);
        } catch (JsonProcessingException exception) {
            throw BaobabcartException.of(ResultCode.UPSTREAM_FAILED, "the response is not valid JSON")
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
