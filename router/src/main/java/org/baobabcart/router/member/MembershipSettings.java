package org.baobabcart.router.member;

import java.time.Duration;

/**
 * Times and bounds of the membership. Immutable.
 *
 * @param probePeriod how often one other member is probed
 * @param probeTimeout how long a probe may take
 * @param indirectProbes how many others are asked to probe a member that did not answer
 * @param suspicionPeriods how many probe periods a suspect has to refute, for each tenfold size of the fleet
 * @param deadRetention how long a dead member is remembered
 * @param maxUpdatesPerMessage the greatest number of news items in one message
 * @param maxUpdatesInBurst the greatest number of news items in one message while much news is waiting
 * @param maxUpdatesForJoiner the greatest number of members told to one that has just joined
 * @param seedPeriods every how many probe periods one seed that is not a live member is tried
 * @param fullSyncPeriods in how many probe periods one peer with a different list is told the whole one at most
 * @param fanOut how many members are told at once of something new
 */
public record MembershipSettings(
        Duration probePeriod,
        Duration probeTimeout,
        int indirectProbes,
        int suspicionPeriods,
        Duration deadRetention,
        int maxUpdatesPerMessage,
        int maxUpdatesInBurst,
        int maxUpdatesForJoiner,
        int seedPeriods,
        int fullSyncPeriods,
        int fanOut) {
    /** Settings for a fleet of some hundred routers. */
    public static MembershipSettings defaults() {
        return new MembershipSettings(
                Duration.ofSeconds(1), Duration.ofMillis(500), 2, 3, Duration.ofMinutes(10), 6, 64, 500, 4, 15, 3);
    }

    /** How long a suspect has to refute in a fleet of this size. */
    Duration suspicionTimeout(int fleetSize) {
        double scale = Math.max(1, Math.log10(fleetSize + 1.0));
        return Duration.ofNanos((long) (probePeriod.toNanos() * suspicionPeriods * scale));
    }
}
