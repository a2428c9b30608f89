package org.baobabcart.policy.rollout;

/**
 * The evidence on which a stage is judged. Immutable.
 *
 * @param stage the index of the stage, starting at 0
 * @param share the new version's share of new work
 * @param newTotals the new version's outcomes since the stage started
 * @param oldTotals the old version's outcomes since the stage started
 * @param windows the windows over which evidence is counted
 */
public record StageEvidence(
        int stage, double share, VersionTotals newTotals, VersionTotals oldTotals, EvidenceWindows windows) {}
