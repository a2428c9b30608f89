package org.baobabcart.router.order;

import java.util.List;
import org.baobabcart.policy.placement.LoadOrder;
import org.baobabcart.policy.placement.Shortfall;

/**
 * The status of this router's orders, shown to operators. Immutable.
 *
 * @param fencing the fencing number of the lease held by this router, zero if it holds none
 * @param inFlight orders whose engines do not serve the target yet
 * @param shortfalls requested engines that cannot be provided at present
 */
public record OrderStatus(long fencing, List<LoadOrder> inFlight, List<Shortfall> shortfalls) {
    /** Copies the lists. */
    public OrderStatus {
        inFlight = List.copyOf(inFlight);
        shortfalls = List.copyOf(shortfalls);
    }

    /** Returns the status of a router that holds no lease. */
    public static OrderStatus none() {
        return new OrderStatus(0, List.of(), List.of());
    }
}
