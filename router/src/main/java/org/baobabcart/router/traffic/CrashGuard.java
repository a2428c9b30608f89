package org.baobabcart.router.traffic;

import org.baobabcart.policy.crash.CrashCounts;
import org.baobabcart.router.view.TrafficView;

/**
 * Keeps this router's own crash counts, which act at once, beside those of the fleet, which come with the view.
 * Thread-safe.
 */
final class CrashGuard {
    /** The crashes after which no upstream gets a request any more. */
    static final int BOUND = 2;

    private static final String SELF = "";

    private volatile CrashCounts counts = CrashCounts.empty();

    private CrashGuard() {}

    static CrashGuard create() {
        return new CrashGuard();
    }

    synchronized void crashed(String fingerprint) {
        counts = counts.withCrash(fingerprint, SELF);
    }

    boolean isQuarantined(TrafficView view, String fingerprint) {
        return view.quarantined().contains(fingerprint) || counts.total(fingerprint) >= BOUND;
    }
}
