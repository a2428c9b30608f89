package org.baobabcart.standins.engine;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.HashSet;
import java.util.Set;

/**
 * Log of the orders that reached an engine, with which tests check what it executed and in which sequence. Not
 * thread-safe.
 */
final class OrderLog {
    private static final String LOAD_MODEL_ACTION = "load-model";

    private final JsonArray entries = new JsonArray();
    private final Set<String> executedIds = new HashSet<>();

    /** How an engine handled an order. */
    enum Verdict {
        OBEYED,
        REPEATED,
        OLD_FENCING,
        UNKNOWN_ACTION
    }

    /**
     * An order to an engine. Immutable.
     *
     * @param orderId the id of the order, the same each time it is sent
     * @param fencing the fencing number of the sender's lease
     * @param action the action to execute
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
            return action.equals(LOAD_MODEL_ACTION);
        }
    }

    /** Adds an order with its verdict. */
    void add(Order order, Verdict verdict) {
        if (verdict == Verdict.OBEYED) {
            executedIds.add(order.orderId());
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

    /** Returns whether an order with this id was executed before. */
    boolean wasExecuted(String orderId) {
        return executedIds.contains(orderId);
    }

    /** Returns all orders as JSON, oldest first. */
    JsonArray toJson() {
        return entries;
    }
}
