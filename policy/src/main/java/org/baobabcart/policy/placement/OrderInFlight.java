package org.baobabcart.policy.placement;

/**
 * A load order whose engine does not serve the target yet. Immutable.
 *
 * @param order the load order
 * @param sinceNanos the monotonic time at which this node sent or took over the order
 */
public record OrderInFlight(LoadOrder order, long sinceNanos) {}
