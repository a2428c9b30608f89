package org.baobabcart.router.member;

import java.time.Duration;

/**
 * Periods and limits of the membership protocol. Immutable.
 *
 * @param probePeriod the period at which one other member is probed
 * @param probeTimeout the timeout of a probe
 * @param indirectProbes the number of members that are asked to probe one that did not respond
 * @param suspicionPeriods the number of probe periods in which a suspect can refute, for each tenfold increase of the
 *     fleet size
 * @param deadRetention the time for which a dead member is remembered
 * @param maxUpdatesPerMessage the maximum number of queued updates in one message
 * @param maxUpdatesInBurst the maximum number of queued updates that a received message is expected to carry; one with
 *     more is treated as a full list
 * @param maxUpdatesForJoiner the maximum number of members sent to a node that has just joined
 * @param seedPeriods the number of probe periods between attempts to contact a seed that is not a live member
 * @param fullSyncPeriods the minimum number of probe periods between two full lists sent to peers whose list differs
 * @param fanOut the number of members that are contacted at once to distribute new data
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
    /** Returns settings for a fleet of a few hundred routers. */
    public static MembershipSettings defaults() {
        return new MembershipSettings(
                Duration.ofSeconds(1), Duration.ofMillis(500), 2, 3, Duration.ofMinutes(10), 6, 64, 500, 4, 15, 3);
    }

    /** Returns the time in which a suspect can refute in a fleet of this size. */
    Duration suspicionTimeout(int fleetSize) {
        double scale = Math.max(1, Math.log10(fleetSize + 1.0));
        return Duration.ofNanos((long) (probePeriod.toNanos() * suspicionPeriods * scale));
    }
}
