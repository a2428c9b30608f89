package org.baobabcart.standins.engine;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.HashSet;
import java.util.Set;

/** The orders that reached an engine, by which checks see what it obeyed and in which order. Not thread-safe. */
final class OrderLog {
    private static final String LOAD_MODEL = "load-model";

    private final JsonArray entries = new JsonArray();
    private final Set<String> obeyed = new HashSet<>();

    /** What an engine made of an order. */
    enum Verdict {
        OBEYED,
        REPEATED,
        OLD_FENCING,
        UNKNOWN_ACTION
    }

    /**
     * An order. Immutable.
     *
     * @param orderId the same at each repetition
     * @param fencing the number of the sender's lease
     * @param action what is to be done
     * @param model the model to load
     * @param version the version to load
     */
    record Order(String orderId, long fencing, String action, String model, String version) {
        static Order of(JsonObject body) {
            return new Order(
                    body.getString("orderId", ""),
                    body.getLong("fencing", 0L),
                    body.getString("action", ""),
                    body.getString("model", ""),
                    body.getString("version", ""));
        }

        boolean isKnownAction() {
            return action.equals(LOAD_MODEL);
        }
    }

    /** Lists an order. */
    void add(Order order, Verdict verdict) {
        if (verdict == Verdict.OBEYED) {
            obeyed.add(order.orderId());
        }
        entries.add(new JsonObject()
                .put("orderId", order.orderId())
                .put("fencing", order.fencing())
                .put("action", order.action())
                .put("model", order.model())
                .put("version", order.version())
                .put("verdict", verdict.name())
                .put("obeyed", verdict == Verdict.OBEYED));
    }

    /** Whether an order of this id was obeyed before. */
    boolean hasObeyed(String orderId) {
        return obeyed.contains(orderId);
    }

    /** All orders as JSON, the oldest first. */
    JsonArray toJson() {
        return entries;
    }
}
