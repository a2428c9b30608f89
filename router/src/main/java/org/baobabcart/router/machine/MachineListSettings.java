package org.baobabcart.router.machine;

import java.time.Duration;

/**
 * Settings of the reading and replication of the list of VMs. Immutable.
 *
 * @param readersPerDataCentre the number of routers of a data centre that read the list
 * @param readPeriod the period at which they read it
 * @param tickPeriod the period at which a router checks whether a read is due
 * @param maxResponseTime the response time above which a list is too old to be used
 * @param staleAfterBase the time without a read by any router after which a router of the smallest fleet reads the list
 *     itself
 * @param staleAfterStep the increase of that time for each doubling of the fleet, since an update then needs more
 *     exchanges to reach all routers
 * @param maxRetryDelay the upper bound of the exponential retry delay of a router that reads without being assigned to
 * @param fetchTimeout the timeout of a fetch from a peer
 */
public record MachineListSettings(
        int readersPerDataCentre,
        Duration readPeriod,
        Duration tickPeriod,
        Duration maxResponseTime,
        Duration staleAfterBase,
        Duration staleAfterStep,
        Duration maxRetryDelay,
        Duration fetchTimeout) {
    /** Returns settings for a list that lags by about a second. */
    public static MachineListSettings defaults() {
        return new MachineListSettings(
                2,
                Duration.ofSeconds(1),
                Duration.ofMillis(500),
                Duration.ofSeconds(2),
                Duration.ofMillis(1_500),
                Duration.ofMillis(400),
                Duration.ofSeconds(30),
                Duration.ofSeconds(2));
    }

    /**
     * Returns the time without a read by any router after which a router of a fleet of this size reads the list itself.
     */
    Duration staleAfter(int fleetSize) {
        int doublings = Integer.SIZE - Integer.numberOfLeadingZeros(Math.max(0, fleetSize - 1));
        return staleAfterBase.plus(staleAfterStep.multipliedBy(doublings));
    }
}
