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
 * A plain service whose bookings may not be repeated: it books as often as it is asked, whatever the key. Confined to
 * the event loop.
 */
public final class ServiceStandIn extends UpstreamServer {
    private static final long WORK_MILLIS = 5;

    private long bookings;

    private ServiceStandIn(Vertx vertx, StandInSettings settings) {
        super(vertx, settings);
    }

    /** A service that has not started yet. */
    public static ServiceStandIn create(Vertx vertx, StandInSettings settings) {
        return new ServiceStandIn(vertx, settings);
    }

    @Override
    protected void addRoutes(Router router) {
        router.get("/health").handler(this::health);
        router.route("/*").handler(this::work);
    }

    private void work(RoutingContext context) {
        if (refusedAsLeaving(context)) {
            return;
        }
        RunLog.Run run = runs().begin(context.request(), "");
        crashIfAsked(context.body().asString());
        long millis = Math.max(1, Math.round(WORK_MILLIS * slowFactor()));
        vertx().setTimer(millis, ignored -> whenThawed(() -> finish(context, run)));
    }

    private void finish(RoutingContext context, RunLog.Run run) {
        if (failing()) {
            answer(context, 500, new JsonObject().put("error", "failed after start"));
            return;
        }
        run.finish();
        echo(context, Headers.REQUEST_ID);
        echo(context, Headers.ATTEMPT_ID);
        reply(context);
    }

    private void reply(RoutingContext context) {
        String call =
                context.request().method().name() + " " + context.request().path();
        if (call.equals("POST /bookings")) {
            bookings++;
            JsonObject booking =
                    new JsonObject().put("booking", RequestIds.next()).put("number", bookings);
            answer(context, 201, booking);
        } else if (call.equals("GET /status")) {
            JsonObject status =
                    new JsonObject().put("service", settings().service()).put("status", "open");
            answer(context, 200, status.put("bookings", bookings));
        } else {
            answer(context, 404, new JsonObject().put("error", "nothing at " + call));
        }
    }
}
