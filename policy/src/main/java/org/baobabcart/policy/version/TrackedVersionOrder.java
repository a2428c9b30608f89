package org.baobabcart.policy.version;

import org.baobabcart.model.gateway.VersionOrder;

/**
 * An order to move a service to another version, as one router follows it. Immutable.
 *
 * @param order the order with its present state
 * @param startNanos when the order's time began, on this router's monotonic clock
 * @param previousShare the share of the target until the last announced step comes into force
 */
public record TrackedVersionOrder(VersionOrder order, long startNanos, double previousShare) {
    /** The part of the order's time that has passed, from 0; above 1 after its deadline. */
    public double progress(long nowNanos) {
        long duration = Math.max(1, order.duration().toNanos());
        return Math.max(0, nowNanos - startNanos) / (double) duration;
    }

    /** The same order in another state. */
    public TrackedVersionOrder withState(VersionOrder.State state) {
        return new TrackedVersionOrder(order.withState(state), startNanos, previousShare);
    }
}
