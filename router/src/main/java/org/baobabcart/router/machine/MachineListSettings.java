package org.baobabcart.router.machine;

import java.time.Duration;

/**
 * Times of the reading and spreading of the list of VMs. Immutable.
 *
 * @param readersPerDataCentre how many routers of a data centre read the list
 * @param readPeriod how often they do
 * @param tickPeriod how often a router looks whether a reading is due
 * @param maxResponseTime after which time an answer of the list is too old to be used
 * @param staleAfterBase after which time without a reading by any router a router of the smallest fleet reads by itself
 * @param staleAfterStep by how much that time grows when the fleet doubles, since news needs more exchanges
 * @param maxRetryDelay the bound of the growing time between the failed readings of a router that is no reader
 * @param fetchTimeout how long the fetch from a peer may take
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
    /** Settings for a list that lags by about a second. */
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

    /** After which time without a reading by any router a router of a fleet of this size reads by itself. */
    Duration staleAfter(int fleetSize) {
        int doublings = Integer.SIZE - Integer.numberOfLeadingZeros(Math.max(0, fleetSize - 1));
        return staleAfterBase.plus(staleAfterStep.multipliedBy(doublings));
    }
}
