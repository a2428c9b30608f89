package org.baobabcart.router.order;

import java.time.Duration;
import org.baobabcart.policy.lease.LeaseTerms;
import org.baobabcart.policy.placement.PlacementSettings;

/**
 * Settings of orders to engines. Immutable.
 *
 * @param lease how long the lease lasts
 * @param placement settings of the choice of orders
 * @param period how often leases and placements are looked at
 * @param standbyReadPeriod how often a router that may take the lease reads it
 * @param candidates how many routers of a data centre may take its lease
 * @param sendTimeout how long an engine may take to answer; less than the flight time of the lease's terms
 * @param resendPause how long after an order without an answer it is sent again
 * @param maximumSends how often an order is sent without an answer until it counts as failed
 */
public record OrderSettings(
        LeaseTerms lease,
        PlacementSettings placement,
        Duration period,
        Duration standbyReadPeriod,
        int candidates,
        Duration sendTimeout,
        Duration resendPause,
        int maximumSends) {
    private static final int CANDIDATES = 2;
    private static final int MAXIMUM_SENDS = 5;

    /** The settings that the router uses. */
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
