package org.baobabcart.policy.rollout;

/**
 * What is known of a stage when it is judged. Immutable.
 *
 * @param stage the index of the stage, from zero
 * @param share the new version's share of new work
 * @param newTotals the new version's outcomes since the stage began
 * @param oldTotals the old version's outcomes since the stage began
 * @param windows from where evidence is counted
 */
public record StageEvidence(
        int stage, double share, VersionTotals newTotals, VersionTotals oldTotals, EvidenceWindows windows) {}
