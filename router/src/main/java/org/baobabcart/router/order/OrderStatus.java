package org.baobabcart.router.order;

import java.util.List;
import org.baobabcart.policy.placement.LoadOrder;
import org.baobabcart.policy.placement.Shortfall;

/**
 * What this router orders, for operators. Immutable.
 *
 * @param fencing the number of the lease that this router holds, zero where it holds none
 * @param inFlight orders whose engines do not serve the target yet
 * @param shortfalls engines that are wanted and cannot be had now
 */
public record OrderStatus(long fencing, List<LoadOrder> inFlight, List<Shortfall> shortfalls) {
    /** Copies the lists. */
    public OrderStatus {
        inFlight = List.copyOf(inFlight);
        shortfalls = List.copyOf(shortfalls);
    }

    /** The status of a router that holds no lease. */
    public static OrderStatus none() {
        return new OrderStatus(0, List.of(), List.of());
    }
}
