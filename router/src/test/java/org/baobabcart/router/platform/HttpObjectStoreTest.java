package org.baobabcart.router.platform;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import io.smallrye.mutiny.Uni;
import io.vertx.core.Handler;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import java.net.URI;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.baobabcart.model.platform.ObjectEvent;
import org.baobabcart.model.platform.StoredObject;
import org.baobabcart.model.result.BaobabcartException;
import org.baobabcart.model.result.ResultCode;
import org.baobabcart.router.transport.Transport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class HttpObjectStoreTest {
    private static final Duration BOUND = Duration.ofSeconds(30);
    private static final PlatformSettings SETTINGS = new PlatformSettings(
            Duration.ofMillis(500),
            Duration.ofMillis(1_500),
            Duration.ofSeconds(1),
            Duration.ofMillis(500),
            2,
            Transport.plain());
    private static final StoredObject STORED =
            new StoredObject("sheets", "current", "3", JsonNodeFactory.instance.objectNode());
    private static final String OBJECT =
            "{\"kind\":\"sheets\",\"metadata\":{\"name\":\"current\",\"resourceVersion\":\"4\"},\"spec\":{\"a\":1}}";

    private final Vertx vertx = Vertx.vertx();
    private Optional<HttpServer> server = Optional.empty();

    @AfterEach
    void close() {
        vertx.close().toCompletionStage().toCompletableFuture().join();
    }

    @Test
    void readsAndWritesObjects() {
        ObjectStore store = serving(request -> request.response().end(OBJECT));
        StoredObject read = store.read("sheets", "current").await().atMost(BOUND);
        assertThat(read.resourceVersion(), is("4"));
        assertThat(read.spec().path("a").asInt(), is(1));
        assertThat(store.update(STORED).await().atMost(BOUND).resourceVersion(), is("4"));
    }

    @ParameterizedTest
    @CsvSource({
        "404, NOT_FOUND, NOT_FOUND",
        "409, CONFLICT, CONFLICT",
        "413, BODY_TOO_LARGE, BODY_TOO_LARGE",
        "429, PLATFORM_UNAVAILABLE, PLATFORM_UNAVAILABLE",
        "500, PLATFORM_UNAVAILABLE, WRITE_OUTCOME_UNKNOWN",
        "504, PLATFORM_UNAVAILABLE, WRITE_OUTCOME_UNKNOWN"
    })
    void errorStatusesMapToResultCodes(int status, ResultCode ofRead, ResultCode ofWrite) {
        ObjectStore store = serving(request -> request.response()
                .setStatusCode(status)
                .putHeader("Retry-After", "2")
                .end("{\"reason\":\"Any\"}"));
        assertThat(failure(store.read("sheets", "current")).code(), is(ofRead));
        BaobabcartException refused = failure(store.update(STORED));
        assertThat(refused.code(), is(ofWrite));
        assertThat(refused.retryAfter(), is(Optional.of(Duration.ofSeconds(2))));
    }

    @Test
    void refusedConnectionHasNoEffect() {
        ObjectStore store = serving(request -> {});
        server.orElseThrow().close().toCompletionStage().toCompletableFuture().join();
        assertThat(failure(store.update(STORED)).code(), is(ResultCode.PLATFORM_UNAVAILABLE));
        assertThat(failure(store.read("sheets", "current")).code(), is(ResultCode.PLATFORM_UNAVAILABLE));
    }

    @Test
    void writeWithoutAResponseMayHaveTakenEffect() {
        ObjectStore closing = serving(request -> request.connection().close());
        assertThat(failure(closing.update(STORED)).code(), is(ResultCode.WRITE_OUTCOME_UNKNOWN));
        assertThat(failure(closing.delete(STORED)).code(), is(ResultCode.WRITE_OUTCOME_UNKNOWN));
        assertThat(failure(closing.read("sheets", "current")).code(), is(ResultCode.PLATFORM_UNAVAILABLE));
    }

    @Test
    void callToASilentPlatformTimesOut() {
        ObjectStore silent = serving(request -> {});
        assertThat(failure(silent.create(STORED)).code(), is(ResultCode.WRITE_OUTCOME_UNKNOWN));
    }

    @Test
    void responseThatIsNotJsonLeavesTheWriteOutcomeUnknown() {
        ObjectStore store = serving(request -> request.response().end("<html>"));
        assertThat(failure(store.update(STORED)).code(), is(ResultCode.WRITE_OUTCOME_UNKNOWN));
        assertThat(failure(store.read("sheets", "current")).code(), is(ResultCode.RESPONSE_UNREADABLE));
    }

    @Test
    void watchEmitsOneEventPerLineAndCompletesWithTheResponse() {
        ObjectStore store = serving(request -> {
            request.response().setChunked(true);
            request.response().write("{\"type\":\"ADDED\",\"object\":" + OBJECT + "}\n{\"type\":\"MODI");
            request.response().end("FIED\",\"object\":" + OBJECT + "}\n");
        });
        List<ObjectEvent.Type> types = store.watch("sheets", "3")
                .map(ObjectEvent::type)
                .collect()
                .asList()
                .await()
                .atMost(BOUND);
        assertThat(types, contains(ObjectEvent.Type.ADDED, ObjectEvent.Type.MODIFIED));
    }

    @Test
    void expiredOrSilentWatchFails() {
        ObjectStore old =
                serving(request -> request.response().setStatusCode(410).end());
        assertThat(failure(old.watch("sheets", "1").toUni()).code(), is(ResultCode.WATCH_EXPIRED));
        ObjectStore silent =
                serving(request -> request.response().setChunked(true).write("\n"));
        assertThat(failure(silent.watch("sheets", "1").toUni()).code(), is(ResultCode.PLATFORM_UNAVAILABLE));
    }

    private ObjectStore serving(Handler<HttpServerRequest> handler) {
        HttpServer listening = vertx.createHttpServer()
                .requestHandler(handler)
                .listen(0, "127.0.0.1")
                .toCompletionStage()
                .toCompletableFuture()
                .join();
        server = Optional.of(listening);
        return HttpObjectStore.create(vertx, URI.create("http://127.0.0.1:" + listening.actualPort()), SETTINGS);
    }

    private static BaobabcartException failure(Uni<?> call) {
        return assertThrows(BaobabcartException.class, () -> call.await().atMost(BOUND));
    }

    /** Any process may write to the store, so a list may hold objects that no parser accepts. */
    @Test
    void objectsBesideUnreadableOneAreListed() {
        String unreadable = OBJECT.replace("{\"a\":1}", "[".repeat(5_000) + "]".repeat(5_000));
        ObjectStore store =
                serving(request -> request.response().end("{\"items\":[" + unreadable + ",7," + OBJECT + "]}"));
        List<StoredObject> objects = store.list("sheets").await().atMost(BOUND);
        assertThat(objects.get(2).spec().path("a").asInt(), is(1));
        assertThat(objects.get(0).fault().isPresent(), is(true));
        assertThat(objects.get(1).spec().isMissingNode(), is(true));
    }

    @Test
    void eventsAfterUnreadableOneAreReported() {
        String event = "{\"type\":\"MODIFIED\",\"object\":" + OBJECT + "}\n";
        String unreadable = event.replace("{\"a\":1}", "7".repeat(2_000));
        ObjectStore store =
                serving(request -> request.response().end(unreadable + "{\"type\":\"ODD\"}\nodd\n" + event));
        List<ObjectEvent> events =
                store.watch("sheets", "1").collect().asList().await().atMost(BOUND);
        assertThat(events.get(0).object().fault().isPresent(), is(true));
        assertThat(events.get(1).object().spec().path("a").asInt(), is(1));
    }
}
