package org.baobabcart.policy.crash;

import java.time.Duration;
import org.baobabcart.policy.hash.RendezvousHash;

/**
 * Decides which router may try a suspect request, so that over the whole fleet few requests with the same accused key run at once
 * without any coordination between routers. Immutable.
 *
 * <p>The routers that had sent the accused requests try first, one after the other in an order that all routers compute alike: they
 * have such a request at hand, and its answer clears the key for the others. Routers that only know of the key from reports wait longer, each
 * for a different time.
 */
public final class SuspectAdmission {
    /** Longer than the time to the first byte of most answers and the time in which a report reaches all routers. */
    private static final Duration TURN = Duration.ofSeconds(1);
    /** Over this many turns the routers without an accused request are spread. */
    private static final int SPREAD_TURNS = 3;

    private SuspectAdmission() {}

    /** Returns whether a router may now try a suspect request, as far as other routers are concerned. */
    public static boolean mayTry(CrashEvidence evidence, RequestFingerprint request, String router, long nowNanos) {
        if (evidence.isSettling(request, nowNanos)) {
            return false;
        }
        String key = evidence.leadingKey(request);
        return evidence.lastAccused(key)
                .map(accused ->
                        nowNanos - accused >= delay(evidence, key, router).toNanos())
                .orElse(true);
    }

    /** Returns how long after the latest accusation of the key a router may try a request with it. */
    private static Duration delay(CrashEvidence evidence, String key, String router) {
        int rank = RendezvousHash.ranked(key, evidence.reporters(key), name -> name)
                .indexOf(router);
        if (rank >= 0) {
            return TURN.multipliedBy(rank);
        }
        double turns = 1 + SPREAD_TURNS * RendezvousHash.unitHash(key + router);
        return Duration.ofNanos((long) (TURN.toNanos() * turns));
    }
}
