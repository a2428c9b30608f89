package org.baobabcart.router.order;

import java.time.Duration;
import org.baobabcart.policy.lease.LeaseTerms;
import org.baobabcart.policy.placement.PlacementSettings;

/**
 * Settings of orders to engines. Immutable.
 *
 * @param lease the terms of the lease
 * @param placement the settings of the placement policy
 * @param period the interval at which leases and placements are evaluated
 * @param standbyReadPeriod the interval at which a router that may acquire the lease reads it
 * @param candidates the number of routers of a data centre that may acquire its lease
 * @param sendTimeout the time-out of an engine's response; shorter than the order flight time of the lease terms
 * @param resendDelay the delay before an order without a response is sent again
 * @param maximumSends the number of sends without a response after which an order counts as failed
 */
public record OrderSettings(
        LeaseTerms lease,
        PlacementSettings placement,
        Duration period,
        Duration standbyReadPeriod,
        int candidates,
        Duration sendTimeout,
        Duration resendDelay,
        int maximumSends) {
    private static final int CANDIDATES = 2;
    private static final int MAXIMUM_SENDS = 5;

    /** Returns the settings used by the router. */
    public static OrderSettings defaults() {
        return new OrderSettings(
                LeaseTerms.defaults(),
                PlacementSettings.defaults(),
                Duration.ofSeconds(1),
                Duration.ofSeconds(2),
                CANDIDATES,
                Duration.ofSeconds(1),
                Duration.ofSeconds(5),
                MAXIMUM_SENDS);
    }
}
