package org.baobabcart.policy.rollout;

/**
 * The counts of one node for one version during one stage. Immutable.
 *
 * @param model the model's name
 * @param version the version's name
 * @param nodeId the node with its incarnation, since a restarted node counts from zero
 * @param stageEpoch identifies the start of the stage
 * @param totals the counts
 */
public record EvidenceEntry(String model, String version, String nodeId, long stageEpoch, VersionTotals totals) {}
