package org.baobabcart.router.order;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.google.common.flogger.FluentLogger;
import io.smallrye.mutiny.Uni;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import java.time.Duration;
import java.util.function.BooleanSupplier;
import org.baobabcart.model.platform.VirtualMachine;
import org.baobabcart.router.control.Futures;
import org.baobabcart.router.transport.InterimResponses;
import org.baobabcart.router.transport.StrictHttpClient;
import org.baobabcart.router.transport.Transport;

/** Sends orders by {@code POST /orders} with a JSON body. Thread-safe. */
public final class HttpEngineOrderClient implements EngineOrderClient {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final ObjectMapper MAPPER = JsonMapper.builder().build();
    private static final String ORDERS_PATH = "/orders";
    private static final int CONFLICT = 409;
    private static final int SUCCESS_CLASS = 2;

    private final HttpClient client;
    private final Duration timeout;

    private HttpEngineOrderClient(HttpClient client, Duration timeout) {
        this.client = client;
        this.timeout = timeout;
    }

    /** Creates a client with the given response time-out. */
    public static HttpEngineOrderClient create(Vertx vertx, Duration timeout, Transport transport) {
        int connectMillis = (int) timeout.toMillis();
        HttpClientOptions options =
                new HttpClientOptions().setConnectTimeout(connectMillis).setKeepAlive(false);
        return new HttpEngineOrderClient(
                StrictHttpClient.create(vertx, transport.toUpstreams(options), new PoolOptions()), timeout);
    }

    @Override
    public Uni<OrderSendResult> send(VirtualMachine engine, EngineOrder order, BooleanSupplier mayAct) {
        RequestOptions options = new RequestOptions()
                .setMethod(HttpMethod.POST)
                .setAbsoluteURI(engine.address() + ORDERS_PATH)
                .setIdleTimeout(timeout.toMillis())
                .putHeader("Content-Type", "application/json");
        return Futures.toUni(() -> client.request(options).compose(request -> send(request, order, mayAct)))
                .onFailure()
                .recoverWithItem(OrderSendResult.UNKNOWN);
    }

    private static Future<OrderSendResult> send(HttpClientRequest request, EngineOrder order, BooleanSupplier mayAct) {
        Buffer body = Buffer.buffer(MAPPER.valueToTree(order).toString());
        if (!mayAct.getAsBoolean()) {
            request.reset();
            return Future.succeededFuture(OrderSendResult.NOT_SENT);
        }
        InterimResponses.limit(
                request,
                failure -> LOGGER.atWarning().log(
                        "event=order_result_unknown engine=%s cause=%s", request.absoluteURI(), failure.getMessage()));
        return request.send(body).map(response -> toResult(response.statusCode()));
    }

    private static OrderSendResult toResult(int status) {
        if (status / 100 == SUCCESS_CLASS) {
            return OrderSendResult.ACCEPTED;
        }
        return status == CONFLICT ? OrderSendResult.STALE : OrderSendResult.REFUSED;
    }
}
