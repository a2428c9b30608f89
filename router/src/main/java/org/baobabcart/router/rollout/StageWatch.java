package org.baobabcart.router.rollout;

import org.baobabcart.policy.rollout.EvidenceWindows;
import org.baobabcart.policy.rollout.VersionTotals;

/**
 * What a router remembers of a stage that it watches. Immutable.
 *
 * @param windows from where evidence is counted
 * @param sinceNanos when this router began to watch it, by the timer service's monotonic time
 */
record StageWatch(EvidenceWindows windows, long sinceNanos) {
    static StageWatch from(VersionTotals newTotals, VersionTotals oldTotals, long nowNanos) {
        return new StageWatch(EvidenceWindows.startingAt(newTotals, oldTotals), nowNanos);
    }

    StageWatch at(VersionTotals newTotals, VersionTotals oldTotals) {
        return new StageWatch(windows.updated(newTotals, oldTotals), sinceNanos);
    }
}
