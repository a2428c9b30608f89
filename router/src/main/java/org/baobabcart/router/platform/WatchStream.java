package org.baobabcart.router.platform;

import com.google.common.flogger.FluentLogger;
import io.smallrye.mutiny.Multi;
import io.smallrye.mutiny.subscription.MultiEmitter;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.parsetools.RecordParser;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.baobabcart.model.platform.ObjectEvent;
import org.baobabcart.model.result.BaobabcartException;
import org.baobabcart.router.transport.InterimResponses;
import org.baobabcart.router.transport.StrictHttpClient;

/**
 * Watches over HTTP: one streamed response with one JSON object per line. Thread-safe.
 *
 * <p>A watch that stays silent beyond its requested end is treated as broken, since a network device between the two
 * ends may have dropped the connection's state.
 */
final class WatchStream {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final int MAX_WATCHES = 32;
    private static final int MAX_LINE_BYTES = 4 * 1024 * 1024;

    private final HttpClient client;

    private WatchStream(Vertx vertx, PlatformSettings settings) {
        HttpClientOptions options = new HttpClientOptions()
                .setConnectTimeout((int) settings.connectTimeout().toMillis())
                .setKeepAlive(false)
                .setIdleTimeoutUnit(TimeUnit.MILLISECONDS)
                .setIdleTimeout((int)
                        settings.watchDuration().plus(settings.watchEndGrace()).toMillis());
        this.client = StrictHttpClient.create(
                vertx, settings.transport().toUpstreams(options), new PoolOptions().setHttp1MaxSize(MAX_WATCHES));
    }

    static WatchStream create(Vertx vertx, PlatformSettings settings) {
        return new WatchStream(vertx, settings);
    }

    Multi<ObjectEvent> open(String kind, String address) {
        return Multi.createFrom().emitter(emitter -> start(kind, address, emitter));
    }

    private void start(String kind, String address, MultiEmitter<? super ObjectEvent> emitter) {
        AtomicReference<HttpClientRequest> open = new AtomicReference<>();
        emitter.onTermination(() -> close(open.get()));
        RequestOptions options = new RequestOptions().setMethod(HttpMethod.GET).setAbsoluteURI(address);
        client.request(options)
                .compose(request -> {
                    open.set(request);
                    InterimResponses.limit(request, failure -> fail(emitter, failure));
                    return request.send();
                })
                .onSuccess(response -> receive(kind, response, emitter))
                .onFailure(failure -> fail(emitter, failure));
    }

    private static void receive(String kind, HttpClientResponse response, MultiEmitter<? super ObjectEvent> emitter) {
        if (response.statusCode() != 200) {
            emitter.fail(CallEffect.NONE.fromStatus(response.statusCode(), "watch", response.getHeader("Retry-After")));
            return;
        }
        RecordParser lines = RecordParser.newDelimited("\n", line -> emit(kind, line, emitter));
        lines.maxRecordSize(MAX_LINE_BYTES);
        lines.exceptionHandler(failure -> fail(emitter, failure));
        response.exceptionHandler(failure -> fail(emitter, failure));
        response.endHandler(ignored -> emitter.complete());
        response.handler(lines::handle);
    }

    private static void emit(String kind, Buffer line, MultiEmitter<? super ObjectEvent> emitter) {
        if (line.length() == 0) {
            return;
        }
        try {
            emitter.emit(ObjectJson.event(kind, line.getBytes()));
        } catch (BaobabcartException fault) {
            // Each event has a line of its own, so the ones that follow are sound.
            LOGGER.atWarning().atMostEvery(1, TimeUnit.SECONDS).log(
                    "event=watch_event_ignored kind=%s cause=%s", kind, fault.getMessage());
        }
    }

    /** Fails the watch unless it was cancelled, in which case nobody receives the failure. */
    private static void fail(MultiEmitter<? super ObjectEvent> emitter, Throwable failure) {
        if (!emitter.isCancelled()) {
            emitter.fail(CallEffect.NONE.fromCause(failure));
        }
    }

    private static void close(HttpClientRequest request) {
        if (request != null) {
            request.reset();
        }
    }
}
