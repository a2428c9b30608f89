package org.baobabcart.standins.service;

import io.vertx.core.Vertx;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import org.baobabcart.model.request.Headers;
import org.baobabcart.model.request.RequestIds;
import org.baobabcart.standins.base.RunLog;
import org.baobabcart.standins.base.StandInSettings;
import org.baobabcart.standins.base.UpstreamServer;

/**
 * Plain service whose bookings are not idempotent: each request makes a new booking, whatever its idempotency key.
 * Confined to the event loop.
 */
public final class ServiceStandIn extends UpstreamServer {
    private static final long PROCESSING_MILLIS = 5;

    private long bookings;

    private ServiceStandIn(Vertx vertx, StandInSettings settings) {
        super(vertx, settings);
    }

    /** Creates a service that is not started. */
    public static ServiceStandIn create(Vertx vertx, StandInSettings settings) {
        return new ServiceStandIn(vertx, settings);
    }

    @Override
    protected void addRoutes(Router router) {
        router.get("/health").handler(this::respondHealth);
        router.route("/*").handler(this::process);
    }

    private void process(RoutingContext context) {
        if (rejectedAsLeaving(context)) {
            return;
        }
        RunLog.Run run = runs().begin(context.request(), "");
        crashIfTriggered(context.body().asString());
        long millis = Math.max(1, Math.round(PROCESSING_MILLIS * slowFactor()));
        vertx().setTimer(millis, ignored -> runWhenNotFrozen(() -> finish(context, run)));
    }

    private void finish(RoutingContext context, RunLog.Run run) {
        if (failing()) {
            respond(context, 500, new JsonObject().put("error", "failed after start"));
            return;
        }
        run.finish();
        echoHeader(context, Headers.REQUEST_ID);
        echoHeader(context, Headers.ATTEMPT_ID);
        respondToCall(context);
    }

    private void respondToCall(RoutingContext context) {
        String call =
                context.request().method().name() + " " + context.request().path();
        if (call.equals("POST /bookings")) {
            bookings++;
            JsonObject booking =
                    new JsonObject().put("booking", RequestIds.next()).put("number", bookings);
            respond(context, 201, booking);
        } else if (call.equals("GET /status")) {
            JsonObject status =
                    new JsonObject().put("service", settings().service()).put("status", "open");
            respond(context, 200, status.put("bookings", bookings));
        } else {
            respond(context, 404, new JsonObject().put("error", "nothing at " + call));
        }
    }
}
