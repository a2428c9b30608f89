package org.baobabcart.router.order;

import org.baobabcart.policy.placement.LoadOrder;

/**
 * An order as an engine gets it. Immutable.
 *
 * @param orderId the same at each repetition; an engine obeys it once
 * @param fencing the number of the lease under which it is sent; an engine that checks refuses numbers below the greatest
 *     that it has seen
 * @param action what is to be done
 * @param model the model to load
 * @param version the version to load
 */
public record EngineOrder(String orderId, long fencing, String action, String model, String version) {
    /** The action of loading a version in place of the one that is served. */
    public static final String LOAD_MODEL = "load-model";

    /** An order to load a version. */
    public static EngineOrder of(LoadOrder order, long fencing) {
        return new EngineOrder(
                order.id(),
                fencing,
                LOAD_MODEL,
                order.target().model(),
                order.target().version());
    }
}
