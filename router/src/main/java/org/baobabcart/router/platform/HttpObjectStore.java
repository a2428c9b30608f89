package org.baobabcart.router.platform;

import static org.baobabcart.router.platform.CallEffect.NONE;
import static org.baobabcart.router.platform.CallEffect.WRITE;

import io.smallrye.mutiny.Multi;
import io.smallrye.mutiny.Uni;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpMethod;
import java.net.URI;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.function.Supplier;
import org.baobabcart.model.platform.ObjectEvent;
import org.baobabcart.model.platform.StoredObject;
import org.baobabcart.router.control.Futures;
import org.baobabcart.router.transport.BoundedHttpClient;
import org.baobabcart.router.transport.BoundedResponse;

/**
 * Client of the platform's object API over HTTP. Thread-safe; responses are delivered on an event loop.
 *
 * <p>Calls are not retried here, since only the caller can tell whether a retry is safe.
 */
public final class HttpObjectStore implements ObjectStore {
    private static final String BASE_PATH = "/apis/baobabcart/v1";
    /** A list arrives in one response and may have tens of thousands of entries. */
    private static final int MAX_RESPONSE_BYTES = 64 * 1024 * 1024;

    private final String base;
    private final PlatformSettings settings;
    private final BoundedHttpClient client;
    private final WatchStream watches;

    private HttpObjectStore(Vertx vertx, URI platform, PlatformSettings settings) {
        this.base = platform.toString().replaceAll("/+$", "") + BASE_PATH;
        this.settings = settings;
        HttpClientOptions options = new HttpClientOptions()
                .setConnectTimeout((int) settings.connectTimeout().toMillis())
                .setKeepAlive(true);
        this.client = BoundedHttpClient.create(
                vertx, settings.transport().toUpstreams(options), settings.maxConnections(), MAX_RESPONSE_BYTES);
        this.watches = WatchStream.create(vertx, settings);
    }

    /** Creates a client of the platform at this address. */
    public static HttpObjectStore create(Vertx vertx, URI platform, PlatformSettings settings) {
        return new HttpObjectStore(vertx, platform, settings);
    }

    @Override
    public Uni<StoredObject> read(String kind, String name) {
        return call(HttpMethod.GET, path(kind, name), NONE)
                .map(response -> ObjectJson.object(kind, response))
                .onFailure()
                .transform(NONE::fromCause);
    }

    @Override
    public Uni<List<StoredObject>> list(String kind) {
        return call(HttpMethod.GET, path(kind), NONE)
                .map(response -> ObjectJson.items(kind, response))
                .onFailure()
                .transform(NONE::fromCause);
    }

    @Override
    public Uni<StoredObject> create(StoredObject object) {
        return write(HttpMethod.POST, path(object.kind()), object);
    }

    @Override
    public Uni<StoredObject> update(StoredObject object) {
        return write(HttpMethod.PUT, path(object.kind(), object.name()), object);
    }

    @Override
    public Uni<Void> delete(StoredObject object) {
        String path = path(object.kind(), object.name()) + "?resourceVersion=" + encoded(object.resourceVersion());
        return call(HttpMethod.DELETE, path, WRITE).replaceWithVoid();
    }

    @Override
    public Multi<ObjectEvent> watch(String kind, String fromResourceVersion) {
        String query = "?watch=true&timeoutSeconds=" + settings.watchDuration().toSeconds();
        String from = fromResourceVersion.isEmpty() ? "" : "&resourceVersion=" + encoded(fromResourceVersion);
        return watches.open(kind, path(kind) + query + from);
    }

    private Uni<StoredObject> write(HttpMethod method, String path, StoredObject object) {
        Buffer body = Buffer.buffer(ObjectJson.bytes(object));
        return call(() -> client.call(method, path, body, settings.callTimeout()), WRITE)
                .map(response -> ObjectJson.object(object.kind(), response))
                .onFailure()
                .transform(WRITE::fromCause);
    }

    private Uni<byte[]> call(HttpMethod method, String path, CallEffect effect) {
        return call(() -> client.call(method, path, settings.callTimeout()), effect);
    }

    private static Uni<byte[]> call(Supplier<Future<BoundedResponse>> operation, CallEffect effect) {
        return Futures.toUni(operation)
                .onFailure()
                .transform(effect::fromCause)
                .map(response -> body(response, effect));
    }

    private static byte[] body(BoundedResponse response, CallEffect effect) {
        byte[] body = response.body().getBytes();
        if (!response.isSuccess()) {
            throw effect.fromStatus(
                    response.status(),
                    ObjectJson.message(body),
                    response.headers().get("Retry-After"));
        }
        return body;
    }

    private String path(String kind) {
        return base + "/" + encoded(kind);
    }

    private String path(String kind, String name) {
        return path(kind) + "/" + encoded(name);
    }

    private static String encoded(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8);
    }
}
