package org.baobabcart.router.transport;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.PoolOptions;

/** Creates HTTP clients that accept no response with a malformed head and close a connection on which other bytes arrive. */
public final class StrictHttpClient {
    private StrictHttpClient() {}

    /** Creates a client without open connections. */
    public static HttpClient create(Vertx vertx, HttpClientOptions options, PoolOptions pool) {
        return vertx.httpClientBuilder()
                .with(options)
                .with(pool)
                .withConnectHandler(StrictHttpClient::connected)
                .build();
    }

    private static void connected(HttpConnection connection) {
        ResponseBoundary.guard(connection, (kind, bytes) -> Connections.abort(connection));
    }
}
