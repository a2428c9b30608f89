package org.baobabcart.policy.version;

import org.baobabcart.model.gateway.VersionOrder;

/**
 * A version order as tracked by one router. Immutable.
 *
 * @param order the order in its current state
 * @param startNanos the start of the order's duration on this router's monotonic clock
 * @param previousShare the target's share of requests until the announced step takes effect
 */
public record TrackedVersionOrder(VersionOrder order, long startNanos, double previousShare) {
    /** Returns the elapsed fraction of the order's duration: at least 0, and greater than 1 after the deadline. */
    public double progress(long nowNanos) {
        long duration = Math.max(1, order.duration().toNanos());
        return Math.max(0, nowNanos - startNanos) / (double) duration;
    }

    /** Returns a copy with the given state. */
    public TrackedVersionOrder withState(VersionOrder.State state) {
        return new TrackedVersionOrder(order.withState(state), startNanos, previousShare);
    }
}
