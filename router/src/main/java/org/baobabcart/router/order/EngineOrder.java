package org.baobabcart.router.order;

import org.baobabcart.policy.placement.LoadOrder;

/**
 * An order as sent to an engine. Immutable.
 *
 * @param orderId the id, which is the same for every retry; an engine executes an order once
 * @param fencing the fencing number of the lease under which the order is sent; an engine that checks it rejects
 *     numbers lower than the highest it has received
 * @param action the requested action
 * @param model the model to load
 * @param version the version to load
 */
public record EngineOrder(String orderId, long fencing, String action, String model, String version) {
    /** The action that loads a version in place of the one being served. */
    public static final String LOAD_MODEL = "load-model";

    /** Creates an order to load a version. */
    public static EngineOrder of(LoadOrder order, long fencing) {
        return new EngineOrder(
                order.id(),
                fencing,
                LOAD_MODEL,
                order.target().model(),
                order.target().version());
    }
}
