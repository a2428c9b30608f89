package org.baobabcart.standins.platform;

import io.vertx.core.Vertx;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.baobabcart.standins.base.FaultValues;
import org.baobabcart.standins.base.StandInServer;
import org.baobabcart.standins.base.StandInSettings;

/**
 * In-memory stand-in for the platform's object API, with rate limits, call counts and faults. Confined to the event
 * loop.
 */
public final class PlatformStandIn extends StandInServer {
    private static final int MAX_VALUE_BYTES = 1024 * 1024;
    private static final long BOOKMARK_INTERVAL_MILLIS = 2000;
    private static final long DEFAULT_WATCH_TIMEOUT_SECONDS = 300;
    private static final String BASE_PATH = "/apis/baobabcart/v1";

    private final ObjectTable table;
    private final TokenBucket readBucket;
    private final TokenBucket writeBucket;
    private final Set<Watch> watches = new LinkedHashSet<>();
    private long reads;
    private long writes;
    private long watchCalls;
    private long callDelayMillis;
    private long watchLagMillis;
    private boolean dropResponsesAfterWrite;

    private PlatformStandIn(Vertx vertx, StandInSettings settings) {
        super(vertx, settings);
        long now = System.nanoTime();
        table = ObjectTable.create(settings.platform().history(), this::sendToWatches);
        readBucket = TokenBucket.of(settings.platform().readsPerSecond(), now);
        writeBucket = TokenBucket.of(settings.platform().writesPerSecond(), now);
    }

    /** Creates a platform stand-in that is not started. */
    public static PlatformStandIn create(Vertx vertx, StandInSettings settings) {
        return new PlatformStandIn(vertx, settings);
    }

    @Override
    protected void addRoutes(Router router) {
        router.get("/standin/calls").handler(this::respondCallCounts);
        router.get(BASE_PATH + "/:kind").handler(context -> admitRead(context, () -> listOrWatch(context)));
        router.get(BASE_PATH + "/:kind/:name").handler(context -> admitRead(context, () -> read(context)));
        router.post(BASE_PATH + "/:kind").handler(context -> admitWrite(context, () -> create(context)));
        router.put(BASE_PATH + "/:kind/:name").handler(context -> admitWrite(context, () -> update(context)));
        router.delete(BASE_PATH + "/:kind/:name").handler(context -> admitWrite(context, () -> delete(context)));
        vertx().setPeriodic(BOOKMARK_INTERVAL_MILLIS, ignored -> sendBookmarks());
    }

    @Override
    protected void applyFaults(JsonObject faults) {
        super.applyFaults(faults);
        callDelayMillis = FaultValues.wholeNumber(faults, "slow", callDelayMillis);
        watchLagMillis = FaultValues.wholeNumber(faults, "lag", watchLagMillis);
        dropResponsesAfterWrite = faults.getBoolean("lose-answers-after-write", dropResponsesAfterWrite);
        Optional.ofNullable(faults.getInteger("reads-per-second")).ifPresent(readBucket::setRate);
        Optional.ofNullable(faults.getInteger("writes-per-second")).ifPresent(writeBucket::setRate);
    }

    @Override
    protected void onOutageStart() {
        List.copyOf(watches).forEach(Watch::reset);
        watches.clear();
    }

    private void respondCallCounts(RoutingContext context) {
        JsonObject counts =
                new JsonObject().put("reads", reads).put("writes", writes).put("watches", watchCalls);
        respond(context, 200, counts);
    }

    private void admitRead(RoutingContext context, Runnable call) {
        if (context.queryParam("watch").contains("true")) {
            watchCalls++;
        } else {
            reads++;
        }
        admit(context, readBucket, call);
    }

    private void admitWrite(RoutingContext context, Runnable call) {
        writes++;
        if (context.body().length() > MAX_VALUE_BYTES) {
            respondError(context, 413, "RequestEntityTooLarge", "values are limited to 1 MB");
            return;
        }
        admit(context, writeBucket, call);
    }

    private void admit(RoutingContext context, TokenBucket bucket, Runnable call) {
        if (!bucket.tryAcquire(System.nanoTime())) {
            context.response().putHeader("Retry-After", "1");
            respondError(context, 429, "TooManyRequests", "over the rate limit");
        } else if (callDelayMillis == 0) {
            call.run();
        } else {
            vertx().setTimer(callDelayMillis, ignored -> call.run());
        }
    }

    private void read(RoutingContext context) {
        table.read(context.pathParam("kind"), context.pathParam("name"))
                .ifPresentOrElse(
                        object -> respond(context, 200, object),
                        () -> respondError(context, 404, "NotFound", "no such object"));
    }

    private void listOrWatch(RoutingContext context) {
        if (context.queryParam("watch").contains("true")) {
            watch(context);
        } else {
            respond(context, 200, table.list(context.pathParam("kind")));
        }
    }

    private void watch(RoutingContext context) {
        long from = Long.parseLong(
                context.queryParam("resourceVersion").stream().findFirst().orElse(Long.toString(table.version())));
        String kind = context.pathParam("kind");
        table.eventsAfter(kind, from)
                .ifPresentOrElse(
                        missedEvents -> openWatch(context, kind, missedEvents),
                        () -> respondError(context, 410, "Expired", "the version is too old"));
    }

    private void openWatch(RoutingContext context, String kind, List<ObjectTable.Event> missedEvents) {
        context.response().setChunked(true).putHeader("Content-Type", "application/json");
        context.response().writeHead();
        Watch watch = Watch.of(vertx(), kind, context.response(), () -> isSilent(context));
        watches.add(watch);
        missedEvents.forEach(event -> watch.send(event, watchLagMillis));
        context.response().closeHandler(ignored -> watches.remove(watch));
        long seconds = context.queryParam("timeoutSeconds").stream()
                .findFirst()
                .map(Long::parseLong)
                .orElse(DEFAULT_WATCH_TIMEOUT_SECONDS);
        vertx().setTimer(Math.max(1, seconds * 1000), ignored -> close(watch));
    }

    private void close(Watch watch) {
        if (watches.remove(watch)) {
            watch.end();
        }
    }

    private void create(RoutingContext context) {
        JsonObject object = context.body().asJsonObject();
        String name = object.getJsonObject("metadata").getString("name");
        Optional<JsonObject> stored = table.create(context.pathParam("kind"), name, object.getValue("spec"));
        respondToWrite(context, 201, stored, "AlreadyExists");
    }

    private void update(RoutingContext context) {
        JsonObject object = context.body().asJsonObject();
        String expected = object.getJsonObject("metadata").getString("resourceVersion");
        Optional<JsonObject> stored =
                table.update(context.pathParam("kind"), context.pathParam("name"), expected, object.getValue("spec"));
        respondToWrite(context, 200, stored, "Conflict");
    }

    private void delete(RoutingContext context) {
        String expected =
                context.queryParam("resourceVersion").stream().findFirst().orElse("");
        boolean deleted = table.delete(context.pathParam("kind"), context.pathParam("name"), expected);
        respondToWrite(context, 200, deleted ? Optional.of(new JsonObject()) : Optional.empty(), "Conflict");
    }

    private void respondToWrite(RoutingContext context, int status, Optional<JsonObject> stored, String reason) {
        if (dropResponsesAfterWrite) {
            context.request().connection().close();
        } else if (stored.isPresent()) {
            respond(context, status, stored.get());
        } else {
            respondError(context, 409, reason, "the object is not at the expected version");
        }
    }

    private void sendToWatches(ObjectTable.Event event) {
        List.copyOf(watches).forEach(watch -> watch.send(event, watchLagMillis));
    }

    private void sendBookmarks() {
        watches.forEach(watch -> watch.sendBookmark(table.version(), watchLagMillis));
    }

    private void respondError(RoutingContext context, int status, String reason, String message) {
        respond(context, status, new JsonObject().put("reason", reason).put("message", message));
    }
}
