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

/** Rating service that returns the quality stated in the text of a response. Confined to the event loop. */
public final class RatingStandIn extends StandInServer {
    private static final Pattern QUALITY = Pattern.compile("quality=([01](?:\\.[0-9]+)?)");

    private long responseDelayMillis;

    private RatingStandIn(Vertx vertx, StandInSettings settings) {
        super(vertx, settings);
    }

    /** Creates a rating service that is not started. */
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
        responseDelayMillis = FaultValues.wholeNumber(faults, "slow", responseDelayMillis);
    }

    private void rate(RoutingContext context) {
        String text = context.body().asJsonObject().getString("answer", "");
        JsonObject rated = new JsonObject().put("rating", rating(text));
        if (responseDelayMillis == 0) {
            respond(context, 200, rated);
        } else {
            vertx().setTimer(responseDelayMillis, ignored -> respond(context, 200, rated));
        }
    }

    private static double rating(String text) {
        Matcher matcher = QUALITY.matcher(text);
        return matcher.find() ? Math.min(1, Double.parseDouble(matcher.group(1))) : 0;
    }
}
