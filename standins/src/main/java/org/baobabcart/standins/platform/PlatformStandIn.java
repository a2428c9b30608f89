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

/** The platform's object API in memory, with rate limits, counts of calls and faults. Confined to the event loop. */
public final class PlatformStandIn extends StandInServer {
    private static final int VALUE_LIMIT_BYTES = 1024 * 1024;
    private static final long BOOKMARK_MILLIS = 2000;
    private static final long DEFAULT_WATCH_SECONDS = 300;
    private static final String BASE = "/apis/baobabcart/v1";

    private final ObjectTable table;
    private final TokenBucket readBucket;
    private final TokenBucket writeBucket;
    private final Set<Watch> watches = new LinkedHashSet<>();
    private long reads;
    private long writes;
    private long watchCalls;
    private long slowMillis;
    private long lagMillis;
    private boolean losingAnswers;

    private PlatformStandIn(Vertx vertx, StandInSettings settings) {
        super(vertx, settings);
        long now = System.nanoTime();
        table = ObjectTable.create(settings.platform().history(), this::changed);
        readBucket = TokenBucket.of(settings.platform().readsPerSecond(), now);
        writeBucket = TokenBucket.of(settings.platform().writesPerSecond(), now);
    }

    /** A platform that has not started yet. */
    public static PlatformStandIn create(Vertx vertx, StandInSettings settings) {
        return new PlatformStandIn(vertx, settings);
    }

    @Override
    protected void addRoutes(Router router) {
        router.get("/standin/calls").handler(this::calls);
        router.get(BASE + "/:kind").handler(context -> admitRead(context, () -> listOrWatch(context)));
        router.get(BASE + "/:kind/:name").handler(context -> admitRead(context, () -> read(context)));
        router.post(BASE + "/:kind").handler(context -> admitWrite(context, () -> create(context)));
        router.put(BASE + "/:kind/:name").handler(context -> admitWrite(context, () -> update(context)));
        router.delete(BASE + "/:kind/:name").handler(context -> admitWrite(context, () -> delete(context)));
        vertx().setPeriodic(BOOKMARK_MILLIS, ignored -> sendBookmarks());
    }

    @Override
    protected void applyFaults(JsonObject faults) {
        super.applyFaults(faults);
        slowMillis = FaultValues.whole(faults, "slow", slowMillis);
        lagMillis = FaultValues.whole(faults, "lag", lagMillis);
        losingAnswers = faults.getBoolean("lose-answers-after-write", losingAnswers);
        Optional.ofNullable(faults.getInteger("reads-per-second")).ifPresent(readBucket::setRate);
        Optional.ofNullable(faults.getInteger("writes-per-second")).ifPresent(writeBucket::setRate);
    }

    @Override
    protected void outageBegan() {
        List.copyOf(watches).forEach(Watch::reset);
        watches.clear();
    }

    private void calls(RoutingContext context) {
        JsonObject counts =
                new JsonObject().put("reads", reads).put("writes", writes).put("watches", watchCalls);
        answer(context, 200, counts);
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
        if (context.body().length() > VALUE_LIMIT_BYTES) {
            refuse(context, 413, "RequestEntityTooLarge", "values are limited to 1 MB");
            return;
        }
        admit(context, writeBucket, call);
    }

    private void admit(RoutingContext context, TokenBucket bucket, Runnable call) {
        if (!bucket.take(System.nanoTime())) {
            context.response().putHeader("Retry-After", "1");
            refuse(context, 429, "TooManyRequests", "over the rate limit");
        } else if (slowMillis == 0) {
            call.run();
        } else {
            vertx().setTimer(slowMillis, ignored -> call.run());
        }
    }

    private void read(RoutingContext context) {
        table.read(context.pathParam("kind"), context.pathParam("name"))
                .ifPresentOrElse(
                        object -> answer(context, 200, object),
                        () -> refuse(context, 404, "NotFound", "no such object"));
    }

    private void listOrWatch(RoutingContext context) {
        if (context.queryParam("watch").contains("true")) {
            watch(context);
        } else {
            answer(context, 200, table.list(context.pathParam("kind")));
        }
    }

    private void watch(RoutingContext context) {
        long from = Long.parseLong(
                context.queryParam("resourceVersion").stream().findFirst().orElse(Long.toString(table.version())));
        String kind = context.pathParam("kind");
        table.eventsAfter(kind, from)
                .ifPresentOrElse(
                        missed -> openWatch(context, kind, missed),
                        () -> refuse(context, 410, "Expired", "the version is too old"));
    }

    private void openWatch(RoutingContext context, String kind, List<ObjectTable.Event> missed) {
        context.response().setChunked(true).putHeader("Content-Type", "application/json");
        context.response().writeHead();
        Watch watch = Watch.of(vertx(), kind, context.response());
        watches.add(watch);
        missed.forEach(event -> watch.send(event, lagMillis));
        context.response().closeHandler(ignored -> watches.remove(watch));
        long seconds = context.queryParam("timeoutSeconds").stream()
                .findFirst()
                .map(Long::parseLong)
                .orElse(DEFAULT_WATCH_SECONDS);
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
        afterWrite(context, 201, stored, "AlreadyExists");
    }

    private void update(RoutingContext context) {
        JsonObject object = context.body().asJsonObject();
        String expected = object.getJsonObject("metadata").getString("resourceVersion");
        Optional<JsonObject> stored =
                table.update(context.pathParam("kind"), context.pathParam("name"), expected, object.getValue("spec"));
        afterWrite(context, 200, stored, "Conflict");
    }

    private void delete(RoutingContext context) {
        String expected =
                context.queryParam("resourceVersion").stream().findFirst().orElse("");
        boolean deleted = table.delete(context.pathParam("kind"), context.pathParam("name"), expected);
        afterWrite(context, 200, deleted ? Optional.of(new JsonObject()) : Optional.empty(), "Conflict");
    }

    private void afterWrite(RoutingContext context, int status, Optional<JsonObject> stored, String reason) {
        if (losingAnswers) {
            context.request().connection().close();
        } else if (stored.isPresent()) {
            answer(context, status, stored.get());
        } else {
            refuse(context, 409, reason, "the object is not at the expected version");
        }
    }

    private void changed(ObjectTable.Event event) {
        List.copyOf(watches).forEach(watch -> watch.send(event, lagMillis));
    }

    private void sendBookmarks() {
        watches.forEach(watch -> watch.sendBookmark(table.version(), lagMillis));
    }

    private void refuse(RoutingContext context, int status, String reason, String message) {
        answer(context, status, new JsonObject().put("reason", reason).put("message", message));
    }
}
