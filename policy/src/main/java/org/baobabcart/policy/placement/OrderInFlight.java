package org.baobabcart.policy.placement;

/**
 * An order whose engine does not serve the target yet. Immutable.
 *
 * @param order the order
 * @param sinceNanos since when this node has known of it, on its monotonic clock
 */
public record OrderInFlight(LoadOrder order, long sinceNanos) {}
