package org.baobabcart.router.rollout;

import org.baobabcart.policy.rollout.EvidenceWindows;
import org.baobabcart.policy.rollout.VersionTotals;

/**
 * This router's observation of a stage. Immutable.
 *
 * @param windows the windows over which evidence is tested
 * @param startedAtNanos when this router began to observe the stage, by the timer service's monotonic clock
 */
record StageObservation(EvidenceWindows windows, long startedAtNanos) {
    static StageObservation start(VersionTotals newTotals, VersionTotals oldTotals, long nowNanos) {
        return new StageObservation(EvidenceWindows.startingAt(newTotals, oldTotals), nowNanos);
    }

    StageObservation updated(VersionTotals newTotals, VersionTotals oldTotals) {
        return new StageObservation(windows.updated(newTotals, oldTotals), startedAtNanos);
    }
}
