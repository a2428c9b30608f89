package org.baobabcart.standins.service;

import io.vertx.core.Vertx;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.baobabcart.standins.base.FaultValues;
import org.baobabcart.standins.base.StandInServer;
import org.baobabcart.standins.base.StandInSettings;

/** Rates an answer by the quality that its text states. Confined to the event loop. */
public final class RatingStandIn extends StandInServer {
    private static final Pattern QUALITY = Pattern.compile("quality=([01](?:\\.[0-9]+)?)");

    private long slowMillis;

    private RatingStandIn(Vertx vertx, StandInSettings settings) {
        super(vertx, settings);
    }

    /** A rating service that has not started yet. */
    public static RatingStandIn create(Vertx vertx, StandInSettings settings) {
        return new RatingStandIn(vertx, settings);
    }

    @Override
    protected void addRoutes(Router router) {
        router.post("/ratings").handler(this::rate);
    }

    @Override
    protected void applyFaults(JsonObject faults) {
        super.applyFaults(faults);
        slowMillis = FaultValues.whole(faults, "slow", slowMillis);
    }

    private void rate(RoutingContext context) {
        String text = context.body().asJsonObject().getString("answer", "");
        JsonObject answer = new JsonObject().put("rating", rating(text));
        if (slowMillis == 0) {
            answer(context, 200, answer);
        } else {
            vertx().setTimer(slowMillis, ignored -> answer(context, 200, answer));
        }
    }

    private static double rating(String text) {
        Matcher matcher = QUALITY.matcher(text);
        return matcher.find() ? Math.min(1, Double.parseDouble(matcher.group(1))) : 0;
    }
}
